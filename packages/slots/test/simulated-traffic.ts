import { Random, type VirtualClock } from '@canvasridge/clock';
import type { SlotPool, SlotRequest } from '../src/index.js';
import { newRequest } from './new-request.js';
import type { SimulatedBatch } from './simulated-batch.js';

export const ZONES = ['a', 'b', 'c'];
const GAP_OBJECTIVE_MS = 300;
const ADAPTERS = 300;
const LONG_SHARE = 0.75;
const MAX_EVENTS = 119;
/** Streams with more events are among the longest tenth of the long ones. */
const LONGEST_EVENTS = 80;

interface Arrival {
  readonly request: SlotRequest;
  readonly events: number;
  readonly isLong: boolean;
}

/** What became of the requests that were counted. */
export interface Tally {
  requests: number;
  /** First events in time. */
  first: number;
  /** Long streams, and those of them without a pause above the objective. */
  long: number;
  longSmooth: number;
  /** The longest tenth of them. */
  longest: number;
  longestSmooth: number;
}

/** Draws long streams of many adapters and short ones with long prompts, sends them through a pool and counts how they went. */
export class SimulatedTraffic {
  readonly tally: Tally = { requests: 0, first: 0, long: 0, longSmooth: 0, longest: 0, longestSmooth: 0 };
  /** Counted requests by engine. */
  readonly sent = new Map<string, number>();
  /** While false, nothing is counted. */
  counts = false;
  readonly #clock: VirtualClock;
  readonly #random: Random;
  readonly #pool: SlotPool;
  readonly #batches: ReadonlyMap<string, SimulatedBatch>;
  readonly #weights = Array.from({ length: ADAPTERS }, (_, rank) => (rank + 1) ** -1.2);

  constructor(
    clock: VirtualClock,
    seed: number,
    pool: SlotPool,
    batches: ReadonlyMap<string, SimulatedBatch>,
  ) {
    this.#clock = clock;
    this.#random = new Random(seed);
    this.#pool = pool;
    this.#batches = batches;
  }

  /** Sends requests at a rate per second that swings by this fraction with a period of 17 s. */
  async sendUntil(untilMs: number, ratePerSecond: number, swing: number): Promise<void> {
    while (this.#clock.now() < untilMs) {
      this.#send(this.#draw());
      const rate = ratePerSecond * (1 + swing * Math.sin((this.#clock.now() / 8500) * Math.PI));
      await this.#clock.runUntil(this.#clock.now() + this.#random.exponential(1000 / rate));
    }
  }

  #draw(): Arrival {
    const random = this.#random;
    const isLong = random.next() < LONG_SHARE;
    const longObjectiveMs = random.next() < 0.88 ? 600 : 1000;
    const events = isLong ? 4 + random.exponential(36) : 2 + random.exponential(1);
    const promptTokens = isLong ? 100 + random.exponential(730) : 400 + random.exponential(2000);
    const request = newRequest(this.#drawAdapter(), {
      objectiveMs: isLong ? longObjectiveMs : 800,
      priority: isLong ? 2 : 0,
      gapObjectiveMs: GAP_OBJECTIVE_MS,
      promptTokens: Math.round(Math.min(promptTokens, 8000)),
      timeoutMs: 12_000,
      zone: random.pick(ZONES) ?? '',
    });
    return { request, events: Math.round(Math.min(events, MAX_EVENTS)), isLong };
  }

  #drawAdapter(): string {
    let left = this.#random.next() * this.#weights.reduce((sum, weight) => sum + weight, 0);
    return `a${this.#weights.findIndex((weight) => (left -= weight) < 0)}`;
  }

  #send(arrival: Arrival): void {
    const { request, events, isLong } = arrival;
    const { counts, tally } = this;
    const isLongest = isLong && events > LONGEST_EVENTS;
    if (counts) {
      tally.requests += 1;
      if (isLong) tally.long += 1;
      if (isLongest) tally.longest += 1;
    }
    const sentMs = this.#clock.now();
    this.#pool.acquire(request, (decision) => {
      if (decision.kind !== 'granted') return;
      if (counts) this.sent.set(decision.backendId, (this.sent.get(decision.backendId) ?? 0) + 1);
      this.#run(arrival, decision.backendId, (firstMs, isSmooth) => {
        if (!counts) return;
        if (firstMs - sentMs <= request.objectiveMs) tally.first += 1;
        if (isLong && isSmooth) tally.longSmooth += 1;
        if (isLongest && isSmooth) tally.longestSmooth += 1;
      });
    });
  }

  #run(
    { request, events }: Arrival,
    engine: string,
    onEnd: (firstMs: number, isSmooth: boolean) => void,
  ): void {
    let firstMs = 0;
    let lastMs = Infinity;
    let isSmooth = true;
    this.#batches.get(engine)?.run(request.promptTokens, events, (event) => {
      const nowMs = this.#clock.now();
      if (nowMs - lastMs > GAP_OBJECTIVE_MS) isSmooth = false;
      lastMs = nowMs;
      if (event === 1) {
        firstMs = nowMs;
        this.#pool.started(request.id);
      }
      if (event < events) return;
      const progress = events === 1 ? undefined : { events: events - 1, spanMs: nowMs - firstMs };
      this.#pool.release(request.id, 'served', progress);
      onEnd(firstMs, isSmooth);
    });
  }
}
