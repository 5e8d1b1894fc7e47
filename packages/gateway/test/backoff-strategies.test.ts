/**
 * Compares strategies for a request whose usable backends have all asked the node to back off. The built
 * strategy waits for the first backend if the request can still be answered within its objective by then,
 * and otherwise refuses the request at once, so that its caller retries on another node. The alternatives
 * refuse at once, with a Retry-After for another node or for the remaining backoff time, or keep the request
 * as long as its caller waits. `ignore` is the former behaviour: backoff times were not read.
 *
 * All strategies run with the same seeds: six nodes, three backends of which some refuse a share of all
 * requests for six seconds, and callers with a deadline of one second and one retry, which respect a
 * Retry-After up to a third of their remaining time.
 */
import { socketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription } from '@canvasridge/serving';
import test from 'ava';
import {
  BackendAvailability,
  RETRY_ELSEWHERE_MS,
  type BackendAvailabilityOptions,
} from '../src/backends/backend-availability.js';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { LeastLoadedPicker } from '../src/backends/least-loaded-picker.js';
import type { PickContext, PickResult } from '../src/backends/picker.js';
import { noRateLimits } from './no-rate-limits.js';
import { SERVICE, configuration } from './harness.js';

type Strategy = 'ignore' | 'elsewhere' | 'time-left' | 'wait' | 'built';

const NODES = 6;
const BACKENDS = 3;
const REQUESTS_PER_SECOND = 40;
const SECONDS = 30;
const OVERLOAD_FROM_MS = 6000;
const OVERLOAD_MS = 6000;
const WORK_MS = 43;
const NETWORK_DELAY_MS = 3;
const OBJECTIVE_MS = 193;
const DEADLINE_MS = 1000;
const MAX_TRIES = 2;
const MAX_SENDS = 3;
/** Callers wait at most this share of their remaining time when they are given a Retry-After. */
const MAX_WAIT_SHARE = 1 / 3;
const DEFAULT_RETRY_MS = 300;
/**
 * Requests in flight when a backend refuses one may still arrive; after this time, MAX_ARRIVALS more are
 * allowed.
 */
const IN_FLIGHT_MS = 500;
const MAX_ARRIVALS = 2;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

interface Overload {
  readonly backends: number;
  readonly share: number;
  readonly backoffMs: number;
}

interface Backend {
  readonly id: string;
  readonly refusesUnderLoad: boolean;
  /**
   * For each node: the times in which it was asked to back off, with the number of its requests that arrived
   * in them.
   */
  readonly backoffWindows: { node: number; fromMs: number; toMs: number; arrivals: number }[];
}

interface Figures {
  inTime: number;
  late: number;
  refused: number;
  backendRefusals: number;
  /** Backoff times in which more than two requests of a node arrived. */
  broken: number;
}

interface SimulatedNode {
  readonly picker: LeastLoadedPicker;
  readonly backoffs: BackendBackoffs;
}

/** Implements the alternative strategies. */
class AlternativeAvailability extends BackendAvailability {
  readonly #strategy: Strategy;
  readonly #settings: BackendAvailabilityOptions;

  constructor(strategy: Strategy, settings: BackendAvailabilityOptions) {
    super(settings);
    this.#strategy = strategy;
    this.#settings = settings;
  }

  override async waitForAvailability({ ageMs, timeoutMs }: PickContext): Promise<PickResult | undefined> {
    const { clock, fleet, backoffs } = this.#settings;
    const sinceMs = clock.now();
    for (;;) {
      const remainingMs = Math.min(...fleet.backendsOf(SERVICE).map(({ id }) => backoffs.remainingMs(id)));
      if (remainingMs === 0) return undefined;
      const latestMs = timeoutMs - WORK_MS - (ageMs + clock.now() - sinceMs);
      if (this.#strategy !== 'wait' || remainingMs > latestMs) {
        const retryAfterMs = this.#strategy === 'elsewhere' ? RETRY_ELSEWHERE_MS : remainingMs;
        return { kind: 'none', reason: 'backing-off', retryAfterMs };
      }
      await clock.sleep(remainingMs);
    }
  }
}

type Answer = { readonly kind: 'served' } | { readonly kind: 'refused'; readonly retryAfterMs: number };

class Simulation {
  readonly clock = new VirtualClock();
  readonly figures: Figures = { inTime: 0, late: 0, refused: 0, backendRefusals: 0, broken: 0 };
  readonly #random: Random;
  readonly #strategy: Strategy;
  readonly #overload: Overload;
  readonly #backends: Backend[];
  readonly #nodes: SimulatedNode[];

  constructor(strategy: Strategy, overload: Overload, seed: number) {
    this.#strategy = strategy;
    this.#overload = overload;
    this.#random = new Random(seed);
    this.#backends = Array.from({ length: BACKENDS }, (_, index) => ({
      id: `i${index}`,
      refusesUnderLoad: index < overload.backends,
      backoffWindows: [],
    }));
    this.#nodes = Array.from({ length: NODES }, (_, index) => this.#newNode(seed * NODES + index));
    void this.#callers();
  }

  #newNode(seed: number): SimulatedNode {
    const fleet = new FleetState();
    for (const { id } of this.#backends) fleet.applyBackend(1, describe(id));
    const { clock } = this;
    const backoffs = new BackendBackoffs(clock);
    const options = {
      fleet,
      backoffs,
      rateLimits: noRateLimits(clock),
      clock,
      hasOtherServingNodes: () => true,
    };
    const availability =
      this.#strategy === 'built' || this.#strategy === 'ignore'
        ? new BackendAvailability(options)
        : new AlternativeAvailability(this.#strategy, options);
    return { picker: new LeastLoadedPicker(fleet, availability, clock, new Random(seed)), backoffs };
  }

  async #callers(): Promise<void> {
    while (this.clock.now() < SECONDS * 1000) {
      await this.clock.sleep(this.#random.exponential(1000 / REQUESTS_PER_SECOND));
      void this.#call();
    }
  }

  async #call(): Promise<void> {
    const sentMs = this.clock.now();
    for (let tries = 1; ; tries += 1) {
      const answer = await this.#serve(this.#random.integer(NODES), sentMs);
      const tookMs = this.clock.now() - sentMs;
      if (answer.kind === 'served') {
        this.figures[tookMs <= OBJECTIVE_MS ? 'inTime' : 'late'] += 1;
        return;
      }
      const leftMs = DEADLINE_MS - tookMs;
      if (tries === MAX_TRIES || leftMs <= 0) {
        this.figures.refused += 1;
        return;
      }
      await this.clock.sleep(Math.min(answer.retryAfterMs, leftMs * MAX_WAIT_SHARE));
    }
  }

  async #serve(node: number, sentMs: number): Promise<Answer> {
    const simulatedNode = this.#nodes[node];
    if (simulatedNode === undefined) throw new Error('no such node');
    let excluded: string[] = [];
    for (let sends = 0; sends < MAX_SENDS; sends += 1) {
      const ageMs = this.clock.now() - sentMs;
      const picked = await simulatedNode.picker.pick({ ...CONTEXT, excluded, ageMs }, NOT_CANCELLED);
      if (picked.kind === 'none') {
        return { kind: 'refused', retryAfterMs: picked.retryAfterMs ?? DEFAULT_RETRY_MS };
      }
      await this.clock.sleep(NETWORK_DELAY_MS);
      const backend = this.#backends.find(({ id }) => id === picked.backend.id);
      const isServed = backend !== undefined && this.#arrive(backend, node);
      await this.clock.sleep(isServed ? WORK_MS + NETWORK_DELAY_MS : NETWORK_DELAY_MS);
      picked.finish(isServed ? 'served' : 'refused');
      if (isServed) return { kind: 'served' };
      if (this.#strategy === 'ignore') excluded = [...excluded, picked.backend.id];
      else simulatedNode.backoffs.record(picked.backend.id, this.#overload.backoffMs);
    }
    return { kind: 'refused', retryAfterMs: DEFAULT_RETRY_MS };
  }

  /** Whether the backend accepts a request that arrives. */
  #arrive(backend: Backend, node: number): boolean {
    const nowMs = this.clock.now();
    for (const window of backend.backoffWindows) {
      if (window.node !== node || nowMs < window.fromMs || nowMs > window.toMs) continue;
      window.arrivals += 1;
      if (window.arrivals === MAX_ARRIVALS + 1) this.figures.broken += 1;
    }
    const isOverloaded =
      backend.refusesUnderLoad && nowMs >= OVERLOAD_FROM_MS && nowMs < OVERLOAD_FROM_MS + OVERLOAD_MS;
    if (!isOverloaded || this.#random.next() >= this.#overload.share) return true;
    this.figures.backendRefusals += 1;
    const toMs = nowMs + this.#overload.backoffMs;
    backend.backoffWindows.push({ node, fromMs: nowMs + IN_FLIGHT_MS, toMs, arrivals: 0 });
    return false;
  }
}

function describe(id: string): BackendDescription {
  return {
    id,
    service: SERVICE,
    address: socketAddress('10.0.0.1:1'),
    zone: 'a',
    state: 'ready',
    slots: 6,
    models: [],
  };
}

const NOT_CANCELLED = new AbortController().signal;
const { routes, services } = configuration({ objectiveMs: OBJECTIVE_MS });
const CONTEXT = contextOf();

function contextOf(): PickContext {
  const [route] = routes;
  const [service] = services;
  if (route === undefined || service === undefined) throw new Error('no route');
  return {
    id: 'r',
    traceId: 't',
    route,
    service,
    tenant: undefined,
    priority: 0,
    generation: undefined,
    ageMs: 0,
    timeoutMs: DEADLINE_MS,
    startWithinMs: DEADLINE_MS,
    excluded: [],
  };
}

async function runAllSeeds(strategy: Strategy, overload: Overload): Promise<Figures> {
  const sum: Figures = { inTime: 0, late: 0, refused: 0, backendRefusals: 0, broken: 0 };
  for (const seed of SEEDS) {
    const { clock, figures } = await runSeed(strategy, overload, seed);
    if (clock.now() < SECONDS * 1000) throw new Error('the simulation did not run to its end');
    for (const name of Object.keys(sum) as (keyof Figures)[]) sum[name] += figures[name];
  }
  return sum;
}

async function runSeed(strategy: Strategy, overload: Overload, seed: number): Promise<Simulation> {
  const simulation = new Simulation(strategy, overload, seed);
  await simulation.clock.runUntil(SECONDS * 1000 + 3 * DEADLINE_MS);
  return simulation;
}

const STRATEGIES: readonly Strategy[] = ['ignore', 'elsewhere', 'time-left', 'wait', 'built'];
const OVERLOADS: readonly Overload[] = [
  { backends: 1, share: 0.4, backoffMs: 3000 },
  { backends: 2, share: 0.7, backoffMs: 1500 },
  { backends: 3, share: 0.4, backoffMs: 700 },
  { backends: 3, share: 0.4, backoffMs: 3000 },
  { backends: 3, share: 1, backoffMs: 1500 },
];

test('a request whose backends are all backing off waits or is sent to another node: this serves the most in time and respects every backoff', async (t) => {
  for (const overload of OVERLOADS) {
    const rows = new Map<Strategy, Figures>();
    for (const strategy of STRATEGIES) rows.set(strategy, await runAllSeeds(strategy, overload));
    for (const [strategy, figures] of rows) {
      const name = `${overload.backends} of ${BACKENDS} refuse ${overload.share}, backoff ${overload.backoffMs} ms`;
      t.log(`${name}: ${strategy} ${JSON.stringify(figures)}`);
      if (strategy !== 'ignore') t.is(figures.broken, 0, strategy);
    }
    const built = rows.get('built')?.inTime ?? 0;
    for (const strategy of ['elsewhere', 'time-left', 'wait'] as const) {
      t.true(built >= (rows.get(strategy)?.inTime ?? 0), `${strategy} serves more in time`);
    }
  }
});
