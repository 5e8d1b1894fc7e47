import type { Clock } from '@canvasridge/clock';
import type { AdapterMemory } from './adapter-memory.js';
import type { EngineEntry } from './engine-entry.js';
import type { AdapterSlot } from './engine-slots.js';
import type { SlotRequest } from './slot-request.js';
import type { SlotTurnover } from './slot-turnover.js';
import { streamKind } from './stream-kinds.js';

/** A running request on an engine. */
export interface EngineUse {
  readonly engineId: string;
  /** Undefined for a request to the base model. */
  readonly slot: AdapterSlot | undefined;
  /** When the request was granted the engine. */
  readonly beganMs: number;
  /** Objective for pauses of its stream, in milliseconds; undefined if it has none or another leader granted it. */
  readonly gapObjectiveMs: number | undefined;
  /** Kind of its stream; undefined if another leader granted it. */
  readonly kind: string | undefined;
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

  /**
   * Records that a request starts to run on an engine.
   * @param request undefined if another leader granted it
   */
  begin(
    requestId: string,
    engine: EngineEntry,
    slot: AdapterSlot | undefined,
    request: SlotRequest | undefined,
  ): void {
    const engineId = engine.slots.backend.id;
    const gapObjectiveMs = request?.gapObjectiveMs;
    const kind = request === undefined ? undefined : streamKind(request);
    const nowMs = this.#clock.now();
    engine.slots.running += 1;
    engine.slots.streams.add(gapObjectiveMs);
    engine.slots.lastChosenMs = nowMs;
    this.#uses.set(requestId, { engineId, slot, beganMs: nowMs, gapObjectiveMs, kind });
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
    if (engine !== undefined) {
      engine.slots.running -= 1;
      engine.slots.streams.remove(use.gapObjectiveMs);
    }
    if (use.slot !== undefined) this.#endSlotUse(use.slot);
    return use;
  }

  #endSlotUse(slot: AdapterSlot): void {
    slot.users -= 1;
    slot.lastUsedMs = this.#clock.now();
    if (slot.users === 0) this.#turnover.recordIdleSlot();
  }
}
