import type { Clock } from '@canvasridge/clock';
import type { EngineClient, EngineDefinition } from '@canvasridge/domain';
import type { EngineOwnership } from '@canvasridge/ownership';
import {
  chooseVictim,
  type EvictionCandidate,
  type LoadGrant,
  type LoadGrantRequest,
} from '@canvasridge/placement';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import { isIdle, newSlot, type Slot } from './slot.js';
import type { SlotSet } from './slot-set.js';

export interface AdapterLoaderOptions {
  readonly engine: EngineDefinition;
  readonly client: EngineClient;
  readonly ownership: EngineOwnership;
  readonly slots: SlotSet;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly acquireLoad: (request: LoadGrantRequest, signal: AbortSignal) => Promise<LoadGrant | undefined>;
  /** Number of queued requests for an adapter, weighted by priority. */
  readonly waitingWeight: (key: string) => number;
  readonly evictionCandidate: (slot: Slot) => EvictionCandidate;
  /** Called when a load has ended; `tookMs` includes the waits for a grant and a slot. */
  readonly onLoadEnd: (key: string, outcome: LoadOutcome, tookMs: number) => void;
  readonly onChange: () => void;
}

export type LoadOutcome = 'loaded' | 'failed' | 'abandoned';

/** After waiting this long for a free slot, a load makes the slot in least demand drain. */
const DRAIN_PATIENCE_MS = 400;
const LOAD_ATTEMPTS = 3;
/** Pause before the second attempt of a load; twice as long before the third. */
const LOAD_RETRY_MS = 300;
const IDLE_CHECK_MS = 100;

/** Loads and unloads adapters on one engine that this node owns; each load is a task of its own. */
export class AdapterLoader {
  readonly #options: AdapterLoaderOptions;
  readonly #clock: Clock;
  readonly #tasks = new Map<string, AbortController>();

  constructor(options: AdapterLoaderOptions) {
    this.#options = options;
    this.#clock = options.clock;
  }

  /** Number of loads in progress. */
  get active(): number {
    return this.#tasks.size;
  }

  isLoading(key: string): boolean {
    return this.#tasks.has(key);
  }

  /**
   * Maximum number of concurrent loads: the reclaimable slots, but at least one, which then waits for a slot.
   */
  get limit(): number {
    return Math.max(1, Math.min(this.#options.engine.slots, this.#options.slots.reclaimable));
  }

  start(key: string): void {
    const abort = new AbortController();
    this.#tasks.set(key, abort);
    runInBackground(this.#options.telemetry, 'adapter-load', () => this.#load(key, abort));
  }

  /** Cancels a load because no request waits for the adapter any more. */
  cancel(key: string): void {
    this.#tasks.get(key)?.abort();
  }

  cancelAll(): void {
    for (const abort of this.#tasks.values()) abort.abort();
    this.#tasks.clear();
  }

  /**
   * Unloads an idle adapter; resolves when the engine has answered. If it may not be unloaded now, only waits
   * a little.
   */
  async unload(slot: Slot): Promise<void> {
    const { client, ownership, slots, telemetry } = this.#options;
    if (!ownership.mayUnload || !isIdle(slot)) {
      await this.#clock.sleep(IDLE_CHECK_MS);
      return;
    }
    // No request is sent to a slot in this state, so it stays idle until the engine has unloaded the adapter.
    slot.state = 'unloading';
    const order = { kind: 'unload', adapter: slot.adapter, version: slot.version } as const;
    let isDone = false;
    try {
      const answer = await client.order(ownership.fence, order);
      isDone = answer.isOk() && answer.value.kind === 'done';
    } finally {
      telemetry.metrics.count('adapter.unloads');
      if (isDone) slots.remove(slot, this.#clock.now());
      // The order may still reach the engine; only a claim under a higher fence rules out that it takes effect.
      else ownership.abandon('unload order was not confirmed by the engine');
    }
  }

  async #load(key: string, abort: AbortController): Promise<void> {
    const startedAtMs = this.#clock.now();
    let loaded = false;
    try {
      loaded = await this.#loadWithRetries(key, abort.signal);
    } finally {
      if (this.#tasks.get(key) === abort) this.#tasks.delete(key);
      const failure = abort.signal.aborted ? 'abandoned' : 'failed';
      this.#options.onLoadEnd(key, loaded ? 'loaded' : failure, this.#clock.now() - startedAtMs);
    }
  }

  async #loadWithRetries(key: string, signal: AbortSignal): Promise<boolean> {
    for (let attempt = 0; attempt < LOAD_ATTEMPTS && !signal.aborted; attempt += 1) {
      if (attempt > 0) await this.#clock.sleep(LOAD_RETRY_MS * attempt, signal);
      const weight = this.#options.waitingWeight(key);
      const grant = await this.#options.acquireLoad(
        { engineId: this.#options.engine.id, key, weight },
        signal,
      );
      if (grant === undefined) return false;
      try {
        if ((await this.#freeSlot(signal)) && (await this.#orderLoad(key))) return true;
      } finally {
        grant.finish();
      }
    }
    return false;
  }

  /**
   * Frees a slot, waiting for one to become idle. False if the load was cancelled or ownership lost
   * meanwhile.
   */
  async #freeSlot(signal: AbortSignal): Promise<boolean> {
    const { slots, ownership } = this.#options;
    const startedAtMs = this.#clock.now();
    while (!signal.aborted && ownership.held) {
      if (!slots.full) return true;
      const victim = this.#chooseVictim();
      if (victim !== undefined) {
        await this.unload(victim);
        continue;
      }
      if (this.#clock.now() - startedAtMs > DRAIN_PATIENCE_MS) this.#drainLeastValuable();
      await this.#clock.sleep(IDLE_CHECK_MS, signal);
    }
    return false;
  }

  /** An idle slot to unload: a drained one, or else the least valuable one that no queued request needs. */
  #chooseVictim(): Slot | undefined {
    const idle = this.#options.slots.all().filter(isIdle);
    const drained = idle.find((slot) => slot.draining);
    if (drained !== undefined) return drained;
    const unwanted = idle.filter((slot) => this.#options.waitingWeight(slot.key) === 0);
    return this.#leastValuable(unwanted);
  }

  /** When all slots are busy: stops sending requests to the one in least demand, so that it becomes idle. */
  #drainLeastValuable(): void {
    const ready = this.#options.slots.all().filter((slot) => slot.state === 'ready');
    if (ready.some((slot) => slot.draining)) return;
    const slot = this.#leastValuable(ready);
    if (slot !== undefined) slot.draining = true;
  }

  #leastValuable(slots: readonly Slot[]): Slot | undefined {
    const chosen = chooseVictim(slots.map((slot) => this.#options.evictionCandidate(slot)));
    return chosen === undefined ? undefined : this.#options.slots.get(chosen.key);
  }

  async #orderLoad(key: string): Promise<boolean> {
    const { client, ownership, slots, telemetry, engine } = this.#options;
    if (!ownership.held || slots.get(key) !== undefined || slots.full) return false;
    const at = key.lastIndexOf('@');
    const slot = newSlot(
      { adapter: key.slice(0, at), version: key.slice(at + 1) },
      'loading',
      this.#clock.now(),
    );
    slots.add(slot, this.#clock.now());
    this.#options.onChange();
    const { fence, incarnation } = ownership;
    telemetry.metrics.count('adapter.loads');
    const answer = await client.order(fence, { kind: 'load', adapter: slot.adapter, version: slot.version });
    const current = slots.get(key) === slot;
    if (
      current &&
      answer.isOk() &&
      answer.value.kind === 'done' &&
      answer.value.incarnation === incarnation
    ) {
      slot.state = 'ready';
      return true;
    }
    slots.remove(slot, this.#clock.now());
    telemetry.metrics.count('adapter.load_failures');
    const reason = answer.isErr() ? answer.error.kind : answer.value.kind;
    telemetry.event('warn', 'adapter.load-failed', key, { engine: engine.id, reason });
    if (answer.isErr()) ownership.abandon('load order was not answered by the engine');
    else if (answer.value.kind === 'stale-fence') ownership.handleStaleFence(fence);
    return false;
  }
}
