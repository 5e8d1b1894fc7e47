import type { Clock, Random } from '@canvasridge/clock';
import type { BackendDescription, FleetState } from '@canvasridge/serving';
import { mayRunOn, RecentFailures, type UseOutcome } from '@canvasridge/slots';
import type { BackendAvailability } from './backend-availability.js';
import type { BackendPicker, PickContext, PickResult } from './picker.js';

/** Weight of the newest response time in the moving average of a backend. */
const LATENCY_WEIGHT = 0.2;
const NO_BACKEND_RETRY_MS = 500;

interface BackendLoad {
  running: number;
  readonly failures: RecentFailures;
  latencyMs: number;
}

/**
 * Picker for interchangeable backends: chooses the one with the fewest requests of this node, weighted by
 * latency and recent failures.
 */
export class LeastLoadedPicker implements BackendPicker {
  readonly #fleet: FleetState;
  readonly #availability: BackendAvailability;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #loads = new Map<string, BackendLoad>();

  constructor(fleet: FleetState, availability: BackendAvailability, clock: Clock, random: Random) {
    this.#fleet = fleet;
    this.#availability = availability;
    this.#clock = clock;
    this.#random = random;
    fleet.onChange((change) => {
      if (change === 'backends') this.#dropUnlisted();
    });
  }

  async pick(context: PickContext, cancelled: AbortSignal): Promise<PickResult> {
    const askedMs = this.#clock.now();
    const refusal = await this.#availability.waitForAvailability(context, cancelled);
    if (refusal !== undefined) return refusal;
    const backend = this.#leastLoaded(context);
    if (backend === undefined) {
      return { kind: 'none', reason: 'no-backend', retryAfterMs: NO_BACKEND_RETRY_MS };
    }
    const isChargedToRateLimit = this.#availability.isRateLimited(backend.id);
    if (isChargedToRateLimit && !(await this.#availability.takeRateLimitUnit(backend.id))) {
      return this.pick({ ...context, ageMs: context.ageMs + this.#clock.now() - askedMs }, cancelled);
    }
    const load = this.#loadOf(backend.id);
    load.running += 1;
    const startedMs = this.#clock.now();
    const finish = (outcome: UseOutcome): void => this.#recordOutcome(load, startedMs, outcome);
    return { kind: 'picked', backend, how: 'least-loaded', isChargedToRateLimit, started: noop, finish };
  }

  #leastLoaded(context: PickContext): BackendDescription | undefined {
    const nowMs = this.#clock.now();
    let best: BackendDescription | undefined;
    let bestScore = Infinity;
    for (const backend of this.#fleet.backendsOf(context.service.name)) {
      if (backend.state !== 'ready' || !mayRunOn(context, backend)) continue;
      if (this.#availability.isUnavailable(backend.id)) continue;
      const score = this.#score(this.#loadOf(backend.id), nowMs);
      if (score >= bestScore) continue;
      best = backend;
      bestScore = score;
    }
    return best;
  }

  /**
   * Lower is better. A small random term keeps nodes that see equal loads from all choosing the same
   * backend.
   */
  #score(load: BackendLoad, nowMs: number): number {
    const work = load.running + load.failures.load(nowMs) + this.#random.next() * 0.5;
    return (work + 0.5) * Math.max(load.latencyMs, 1);
  }

  #recordOutcome(load: BackendLoad, startedMs: number, outcome: UseOutcome): void {
    const nowMs = this.#clock.now();
    load.running -= 1;
    if (outcome === 'served') {
      const tookMs = nowMs - startedMs;
      load.latencyMs =
        load.latencyMs === 0 ? tookMs : load.latencyMs + LATENCY_WEIGHT * (tookMs - load.latencyMs);
      return;
    }
    if (outcome === 'cancelled') return;
    load.failures.record(nowMs);
  }

  #loadOf(id: string): BackendLoad {
    let load = this.#loads.get(id);
    if (load === undefined) {
      load = { running: 0, failures: new RecentFailures(), latencyMs: 0 };
      this.#loads.set(id, load);
    }
    return load;
  }

  #dropUnlisted(): void {
    for (const [id, load] of this.#loads) {
      if (load.running === 0 && this.#fleet.backend(id) === undefined) this.#loads.delete(id);
    }
  }
}

/** This picker does not use the time until a backend starts to respond. */
function noop(): void {
  return;
}
