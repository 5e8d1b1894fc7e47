import type { EngineReport } from '@canvasridge/domain';
import { isIdle, newSlot, provesIdle, type ForeignWork, type Slot } from './slot.js';

/** The adapter slots of one engine, as its owner knows them. */
export class SlotSet {
  readonly capacity: number;
  readonly #slots = new Map<string, Slot>();
  /** Last time an order changed what the engine holds; older snapshots say nothing about it. */
  #changedAtMs = -Infinity;
  /** Whether a snapshot from after the claim has been compared yet. */
  #synchronised = true;

  constructor(capacity: number) {
    this.capacity = capacity;
  }

  get(key: string): Slot | undefined {
    return this.#slots.get(key);
  }

  all(): readonly Slot[] {
    return [...this.#slots.values()];
  }

  get size(): number {
    return this.#slots.size;
  }

  get full(): boolean {
    return this.#slots.size >= this.capacity;
  }

  /** Slots that are empty or idle. */
  get reclaimable(): number {
    let idle = 0;
    for (const slot of this.#slots.values()) if (isIdle(slot)) idle += 1;
    return this.capacity - this.#slots.size + idle;
  }

  /** Whether reports are needed to settle what the engine holds and runs. */
  get needsReport(): boolean {
    if (!this.#synchronised) return true;
    for (const slot of this.#slots.values()) if (slot.foreign !== undefined) return true;
    return false;
  }

  add(slot: Slot, nowMs: number): void {
    this.#slots.set(slot.key, slot);
    this.#changedAtMs = nowMs;
  }

  /** Removes exactly this slot; one that took its place stays. */
  remove(slot: Slot, nowMs: number): void {
    if (this.#slots.get(slot.key) !== slot) return;
    this.#slots.delete(slot.key);
    this.#changedAtMs = nowMs;
  }

  clear(): void {
    this.#slots.clear();
  }

  /** Starts over from a report: generations of earlier owners, or of this one, may run on every adapter. */
  adopt(report: EngineReport | undefined, foreign: ForeignWork, nowMs: number): void {
    this.#slots.clear();
    this.#synchronised = false;
    this.#changedAtMs = nowMs;
    for (const loaded of report?.adapters ?? []) {
      const slot = newSlot(loaded, 'ready', nowMs);
      slot.foreign = foreign;
      this.#slots.set(slot.key, slot);
    }
  }

  /** Compares with a report that was asked for at `askedAtMs` under `fence`. */
  compare(report: EngineReport, askedAtMs: number, checksFence: boolean, fence: number): void {
    for (const slot of this.#slots.values()) {
      if (provesIdle(slot, report, askedAtMs, checksFence)) slot.foreign = undefined;
    }
    const snapshotAtMs = askedAtMs - report.snapshotAgeMs;
    const current = snapshotAtMs > this.#changedAtMs && (!checksFence || report.fence === fence);
    if (!current) return;
    this.#synchronised = true;
    this.#correct(report, snapshotAtMs);
  }

  /** An adapter loaded by an earlier owner after the first report is found here, as is a lost one. */
  #correct(report: EngineReport, snapshotAtMs: number): void {
    const held = new Set(report.adapters.map((loaded) => `${loaded.adapter}@${loaded.version}`));
    for (const loaded of report.adapters) {
      const key = `${loaded.adapter}@${loaded.version}`;
      if (this.#slots.has(key)) continue;
      const slot = newSlot(loaded, 'ready', snapshotAtMs);
      if (loaded.running > 0) slot.foreign = { provedAtFence: report.fence, provedAfterMs: snapshotAtMs };
      this.#slots.set(key, slot);
    }
    for (const slot of this.#slots.values()) {
      if (slot.state === 'ready' && slot.inFlight === 0 && !held.has(slot.key)) this.#slots.delete(slot.key);
    }
  }
}
