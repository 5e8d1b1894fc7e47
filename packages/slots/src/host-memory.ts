import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';
import { MAX_TRACKED, type AdapterMemory } from './adapter-memory.js';

/** Initial estimate of how many adapters an engine keeps in host memory, including loaded ones, and its lower limit. */
const INITIAL_ADAPTERS = 34;
const MIN_ADAPTERS = 8;
/** An adapter up to this multiple of the estimate deep is sometimes believed to be in host memory, to test the estimate. */
const EXPLORED_FACTOR = 1.25;
/** Time between two such tests: at first and after one that succeeded, and at most, as others double it. */
const MIN_EXPLORE_PERIOD_MS = 500;
const MAX_EXPLORE_PERIOD_MS = 60_000;
/** Number of recent loads that the estimate is based on. */
const MAX_OUTCOMES = 64;
/**
 * The estimate is lowered only if that explains this many more outcomes: a load can be late for other reasons, while one
 * that was quick was certainly from host memory.
 */
const MIN_LOWERING_GAIN = 2;

interface Outcome {
  readonly depth: number;
  readonly warm: boolean;
}

export interface HostMemoryOptions {
  readonly clock: Clock;
  readonly memory: AdapterMemory;
  readonly telemetry: Telemetry;
  /** Name of the pool, for logs. */
  readonly service: string;
  /** False to always use the initial estimate. */
  readonly learns: boolean;
}

/**
 * Estimates which adapters the engines of a pool have in host memory. They are assumed to keep the same number of recently
 * used adapters each. The number is learnt by the pool's leader from whether loads that were believed to be from host memory
 * were quick.
 */
export class HostMemory {
  readonly #options: HostMemoryOptions;
  #adapters = INITIAL_ADAPTERS;
  #outcomes: Outcome[] = [];
  #explorePeriodMs = MIN_EXPLORE_PERIOD_MS;
  #nextExploreMs = -Infinity;

  constructor(options: HostMemoryOptions) {
    this.#options = options;
  }

  /** Estimated number of adapters that an engine keeps in host memory, including loaded ones. */
  get adaptersPerEngine(): number {
    return this.#adapters;
  }

  /** Records that an adapter was loaded on an engine. */
  record(engineId: string, key: string): void {
    this.#options.memory.record(engineId, key);
  }

  /** Number of adapters that were used on the engine since this one; undefined if it was not seen there. */
  depthOf(engineId: string, key: string): number | undefined {
    return this.#options.memory.depthOf(engineId, key);
  }

  /** Whether the engine likely has the adapter in its host memory. */
  has(engineId: string, key: string): boolean {
    return (this.depthOf(engineId, key) ?? Infinity) < this.#adapters;
  }

  /** Whether a load should be tried as one from host memory: now and then also slightly beyond the estimate. */
  isWorthTrying(engineId: string, key: string): boolean {
    const depth = this.depthOf(engineId, key) ?? Infinity;
    if (depth < this.#adapters) return true;
    return depth < this.#adapters * EXPLORED_FACTOR && this.#mayExplore;
  }

  get #mayExplore(): boolean {
    return this.#options.learns && this.#options.clock.now() >= this.#nextExploreMs;
  }

  /** Records that a load of an adapter this deep was ordered as one from host memory. */
  recordTried(depth: number): void {
    if (depth < this.#adapters) return;
    this.#nextExploreMs = this.#options.clock.now() + this.#explorePeriodMs;
  }

  /** Records whether an adapter this deep was in host memory. */
  recordOutcome(depth: number, warm: boolean): void {
    if (!this.#options.learns) return;
    const isExplored = depth >= this.#adapters;
    if (isExplored) {
      const nextMs = warm ? MIN_EXPLORE_PERIOD_MS : this.#explorePeriodMs * 2;
      this.#explorePeriodMs = Math.min(nextMs, MAX_EXPLORE_PERIOD_MS);
      this.#nextExploreMs = this.#options.clock.now() + this.#explorePeriodMs;
    }
    this.#outcomes = [...this.#outcomes.slice(-(MAX_OUTCOMES - 1)), { depth, warm }];
    const adapters = this.#fit();
    if (adapters === this.#adapters) return;
    this.#options.telemetry.event('info', 'host-memory.learnt', this.#options.service, {
      hostAdapters: adapters,
      before: this.#adapters,
      depth,
      warm,
      outcomes: this.#outcomes.length,
    });
    this.#adapters = adapters;
  }

  /** The number that contradicts the fewest outcomes; of equally good ones, the closest to the current estimate. */
  #fit(): number {
    const candidates = this.#outcomes.map(({ depth, warm }) => limit(warm ? depth + 1 : depth));
    let best = this.#adapters;
    let fewest = this.#contradictionsOf(best);
    for (const candidate of candidates) {
      const contradictions = this.#contradictionsOf(candidate);
      const isCloser = Math.abs(candidate - this.#adapters) < Math.abs(best - this.#adapters);
      if (contradictions > fewest || (contradictions === fewest && !isCloser)) continue;
      best = candidate;
      fewest = contradictions;
    }
    const gain = this.#contradictionsOf(this.#adapters) - fewest;
    return best < this.#adapters && gain < MIN_LOWERING_GAIN ? this.#adapters : best;
  }

  #contradictionsOf(adapters: number): number {
    return this.#outcomes.filter(({ depth, warm }) => warm !== depth < adapters).length;
  }
}

function limit(adapters: number): number {
  return Math.min(Math.max(adapters, MIN_ADAPTERS), MAX_TRACKED);
}
