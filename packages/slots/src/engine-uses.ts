import type { Clock } from '@canvasridge/clock';
import type { AdapterMemory } from './adapter-memory.js';
import type { EngineEntry } from './engine-entry.js';
import type { AdapterSlot } from './engine-slots.js';
import type { SlotTurnover } from './slot-turnover.js';

/** A running request on an engine. */
export interface EngineUse {
  readonly engineId: string;
  /** Undefined for a request to the base model. */
  readonly slot: AdapterSlot | undefined;
  /** When the request was granted the engine. */
  readonly beganMs: number;
}

/** Tracks the running requests of a pool and updates the counters of their engines and adapter slots. */
export class EngineUses {
  readonly #clock: Clock;
  readonly #memory: AdapterMemory;
  readonly #turnover: SlotTurnover;
  readonly #uses = new Map<string, EngineUse>();

  constructor(clock: Clock, memory: AdapterMemory, turnover: SlotTurnover) {
    this.#clock = clock;
    this.#memory = memory;
    this.#turnover = turnover;
  }

  get size(): number {
    return this.#uses.size;
  }

  get(requestId: string): EngineUse | undefined {
    return this.#uses.get(requestId);
  }

  /** Records that a request starts to run on an engine. */
  begin(requestId: string, engine: EngineEntry, slot: AdapterSlot | undefined): void {
    const engineId = engine.slots.backend.id;
    engine.slots.running += 1;
    const nowMs = this.#clock.now();
    this.#uses.set(requestId, { engineId, slot, beganMs: nowMs });
    if (slot === undefined) return;
    slot.users += 1;
    slot.lastUsedMs = nowMs;
    this.#memory.record(engineId, slot.key);
  }

  /** Records that a request has ended and returns its use, or undefined if the request is unknown. */
  end(requestId: string, engineOf: (id: string) => EngineEntry | undefined): EngineUse | undefined {
    const use = this.#uses.get(requestId);
    if (use === undefined) return undefined;
    this.#uses.delete(requestId);
    const engine = engineOf(use.engineId);
    if (engine !== undefined) engine.slots.running -= 1;
    if (use.slot !== undefined) this.#endSlotUse(use.slot);
    return use;
  }

  #endSlotUse(slot: AdapterSlot): void {
    slot.users -= 1;
    slot.lastUsedMs = this.#clock.now();
    if (slot.users === 0) this.#turnover.recordIdleSlot();
  }
}
