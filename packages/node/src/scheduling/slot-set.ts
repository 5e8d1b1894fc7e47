import type { EngineReport } from '@canvasridge/domain';
import { isIdle, newSlot, provesUntrackedWorkEnded, type UntrackedWork, type Slot } from './slot.js';

/** The adapter slots of one engine, as tracked by the node that owns the engine. */
export class SlotSet {
  readonly capacity: number;
  readonly #slots = new Map<string, Slot>();
  /** When an order last changed the loaded adapters; snapshots from before that are out of date. */
  #changedAtMs = -Infinity;
  /** Whether a snapshot taken after this node claimed the engine has been applied. */
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

  /** Number of slots that are empty or idle, so that another adapter can be loaded into them. */
  get reclaimable(): number {
    let idle = 0;
    for (const slot of this.#slots.values()) if (isIdle(slot)) idle += 1;
    return this.capacity - this.#slots.size + idle;
  }

  /** Whether engine reports are needed to establish which adapters are loaded and whether they are idle. */
  get needsReport(): boolean {
    if (!this.#synchronised) return true;
    for (const slot of this.#slots.values()) if (slot.untracked !== undefined) return true;
    return false;
  }

  add(slot: Slot, nowMs: number): void {
    this.#slots.set(slot.key, slot);
    this.#changedAtMs = nowMs;
  }

  /** Removes `slot`, but not another slot that has replaced it under the same key. */
  remove(slot: Slot, nowMs: number): void {
    if (this.#slots.get(slot.key) !== slot) return;
    this.#slots.delete(slot.key);
    this.#changedAtMs = nowMs;
  }

  clear(): void {
    this.#slots.clear();
  }

  /**
   * Replaces the slots with the adapters listed in `report` when this node claims the engine. Generations of
   * earlier owners, or of this node, may still run on each of them.
   */
  resetFromReport(report: EngineReport | undefined, untracked: UntrackedWork, nowMs: number): void {
    this.#slots.clear();
    this.#synchronised = false;
    this.#changedAtMs = nowMs;
    for (const loaded of report?.adapters ?? []) {
      const slot = newSlot(loaded, 'ready', nowMs);
      slot.untracked = untracked;
      this.#slots.set(slot.key, slot);
    }
  }

  /**
   * Applies a report that was requested at `requestedAtMs` under `fence`: marks untracked work as ended where
   * the report proves it, and corrects the set of slots if the report is newer than the last change.
   */
  applyReport(report: EngineReport, requestedAtMs: number, checksFence: boolean, fence: number): void {
    for (const slot of this.#slots.values()) {
      if (provesUntrackedWorkEnded(slot, report, requestedAtMs, checksFence)) slot.untracked = undefined;
    }
    const snapshotAtMs = requestedAtMs - report.snapshotAgeMs;
    const current = snapshotAtMs > this.#changedAtMs && (!checksFence || report.fence === fence);
    if (!current) return;
    this.#synchronised = true;
    this.#reconcile(report, snapshotAtMs);
  }

  /**
   * Adds slots for adapters that the engine holds but this node does not know (an earlier owner loaded them
   * after the first report), and removes slots for adapters that the engine has lost.
   */
  #reconcile(report: EngineReport, snapshotAtMs: number): void {
    const held = new Set(report.adapters.map((loaded) => `${loaded.adapter}@${loaded.version}`));
    for (const loaded of report.adapters) {
      const key = `${loaded.adapter}@${loaded.version}`;
      if (this.#slots.has(key)) continue;
      const slot = newSlot(loaded, 'ready', snapshotAtMs);
      if (loaded.running > 0)
        slot.untracked = { minReportFence: report.fence, snapshotAfterMs: snapshotAtMs };
      this.#slots.set(key, slot);
    }
    for (const slot of this.#slots.values()) {
      if (slot.state === 'ready' && slot.inFlight === 0 && !held.has(slot.key)) this.#slots.delete(slot.key);
    }
  }
}
