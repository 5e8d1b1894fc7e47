import type { Clock, Random } from '@canvasridge/clock';
import type { BackendDescription, FleetState } from '@canvasridge/serving';
import type { UseOutcome } from '@canvasridge/slots';
import type { BackendAvailability } from './backend-availability.js';
import type { BackendPicker, PickContext, PickResult } from './picker.js';

/** A failure counts as so many running requests, halved with each half-life. */
const FAILURE_WEIGHT = 4;
const FAILURE_HALF_LIFE_MS = 2500;
const LATENCY_WEIGHT = 0.2;
const NO_BACKEND_RETRY_MS = 500;

interface BackendRecord {
  running: number;
  failures: number;
  failuresAtMs: number;
  latencyMs: number;
}

/**
 * For backends that are all alike: the one with the least work of this node, weighed by how long it takes and
 * how often it failed of late.
 */
export class LeastLoadedPicker implements BackendPicker {
  readonly #fleet: FleetState;
  readonly #availability: BackendAvailability;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #records = new Map<string, BackendRecord>();

  constructor(fleet: FleetState, availability: BackendAvailability, clock: Clock, random: Random) {
    this.#fleet = fleet;
    this.#availability = availability;
    this.#clock = clock;
    this.#random = random;
    fleet.onChange((change) => {
      if (change === 'backends') this.#forgetGone();
    });
  }

  async pick(context: PickContext, cancelled: AbortSignal): Promise<PickResult> {
    const askedMs = this.#clock.now();
    const refusal = await this.#availability.refusal(context, cancelled);
    if (refusal !== undefined) return refusal;
    const backend = this.#best(context);
    if (backend === undefined) {
      return { kind: 'none', reason: 'no-backend', retryAfterMs: NO_BACKEND_RETRY_MS };
    }
    const isRateCounted = this.#availability.isRateLimited(backend.id);
    if (isRateCounted && !(await this.#availability.takeUnit(backend.id))) {
      return this.pick({ ...context, ageMs: context.ageMs + this.#clock.now() - askedMs }, cancelled);
    }
    const record = this.#record(backend.id);
    record.running += 1;
    const startedMs = this.#clock.now();
    const finish = (outcome: UseOutcome): void => this.#finished(record, startedMs, outcome);
    return { kind: 'picked', backend, how: 'least-loaded', isRateCounted, started: ignore, finish };
  }

  #best(context: PickContext): BackendDescription | undefined {
    const nowMs = this.#clock.now();
    let best: BackendDescription | undefined;
    let bestScore = Infinity;
    for (const backend of this.#fleet.backendsOf(context.service.name)) {
      if (backend.state !== 'ready' || context.excluded.includes(backend.id)) continue;
      if (this.#availability.isClosed(backend.id)) continue;
      const score = this.#score(this.#record(backend.id), nowMs);
      if (score >= bestScore) continue;
      best = backend;
      bestScore = score;
    }
    return best;
  }

  /** Lower is better; a little chance spreads what looks the same on several nodes. */
  #score(record: BackendRecord, nowMs: number): number {
    const failures = record.failures * 0.5 ** ((nowMs - record.failuresAtMs) / FAILURE_HALF_LIFE_MS);
    const work = record.running + FAILURE_WEIGHT * failures + this.#random.next() * 0.5;
    return (work + 0.5) * Math.max(record.latencyMs, 1);
  }

  #finished(record: BackendRecord, startedMs: number, outcome: UseOutcome): void {
    const nowMs = this.#clock.now();
    record.running -= 1;
    if (outcome === 'served') {
      const tookMs = nowMs - startedMs;
      record.latencyMs =
        record.latencyMs === 0 ? tookMs : record.latencyMs + LATENCY_WEIGHT * (tookMs - record.latencyMs);
      return;
    }
    if (outcome === 'cancelled') return;
    const decayed = record.failures * 0.5 ** ((nowMs - record.failuresAtMs) / FAILURE_HALF_LIFE_MS);
    record.failures = decayed + 1;
    record.failuresAtMs = nowMs;
  }

  #record(id: string): BackendRecord {
    let record = this.#records.get(id);
    if (record === undefined) {
      record = { running: 0, failures: 0, failuresAtMs: 0, latencyMs: 0 };
      this.#records.set(id, record);
    }
    return record;
  }

  #forgetGone(): void {
    for (const [id, record] of this.#records) {
      if (record.running === 0 && this.#fleet.backend(id) === undefined) this.#records.delete(id);
    }
  }
}

/** How long a backend takes to begin is not looked at here. */
function ignore(): void {
  return;
}
