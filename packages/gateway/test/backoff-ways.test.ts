/**
 * What a node does for a request when all backends that it may use want nothing from it for a while. As built, it waits for the first of
 * them if it can be answered within its objective then, and is refused else, so that its caller comes back elsewhere at once. The other ways:
 * refuse it at once, to come back elsewhere or after the time that is left; or keep it as long as its caller waits. Beside them what was
 * done before: nothing, as the time was not read.
 * Compared on the same seeds: six nodes, three backends of which some turn away a part of all requests for six seconds, callers with
 * one second and one more try, which heed the time that they are told up to a third of what they have left.
 */
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
import { noRateLimits } from './free-backends.js';
import { SERVICE, configuration } from './harness.js';

type Way = 'ignore' | 'elsewhere' | 'time-left' | 'wait' | 'built';

const NODES = 6;
const BACKENDS = 3;
const PER_SECOND = 40;
const SECONDS = 30;
const SHED_FROM_MS = 6000;
const SHED_MS = 6000;
const WORK_MS = 43;
const WAY_MS = 3;
const OBJECTIVE_MS = 193;
const DEADLINE_MS = 1000;
const TRIES = 2;
const MOST_SENDS = 3;
/** As much of what it has left a caller waits at the most when told to. */
const HEEDED_SHARE = 1 / 3;
const RETRY_UNTOLD_MS = 300;
/** Requests under way when a backend turns its node away may still come; two more are allowed. */
const UNDER_WAY_MS = 500;
const MOST_ARRIVALS = 2;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

interface Shed {
  readonly backends: number;
  readonly share: number;
  readonly backoffMs: number;
}

interface Backend {
  readonly id: string;
  readonly sheds: boolean;
  /** By node: times asked for, and what came in them. */
  readonly asked: { node: number; fromMs: number; toMs: number; arrivals: number }[];
}

interface Figures {
  inTime: number;
  late: number;
  refused: number;
  turnedAway: number;
  /** Times in which more than two requests of a node came. */
  broken: number;
}

interface PlayedNode {
  readonly picker: LeastLoadedPicker;
  readonly backoffs: BackendBackoffs;
}

/** The ways that were not taken. */
class OtherWay extends BackendAvailability {
  readonly #way: Way;
  readonly #settings: BackendAvailabilityOptions;

  constructor(way: Way, settings: BackendAvailabilityOptions) {
    super(settings);
    this.#way = way;
    this.#settings = settings;
  }

  override async refusal({ ageMs, timeoutMs }: PickContext): Promise<PickResult | undefined> {
    const { clock, fleet, backoffs } = this.#settings;
    const sinceMs = clock.now();
    for (;;) {
      const closedMs = Math.min(...fleet.backendsOf(SERVICE).map(({ id }) => backoffs.remainingMs(id)));
      if (closedMs === 0) return undefined;
      const latestMs = timeoutMs - WORK_MS - (ageMs + clock.now() - sinceMs);
      if (this.#way !== 'wait' || closedMs > latestMs) {
        const retryAfterMs = this.#way === 'elsewhere' ? RETRY_ELSEWHERE_MS : closedMs;
        return { kind: 'none', reason: 'backing-off', retryAfterMs };
      }
      await clock.sleep(closedMs);
    }
  }
}

type Answer = { readonly kind: 'served' } | { readonly kind: 'refused'; readonly retryAfterMs: number };

class Play {
  readonly clock = new VirtualClock();
  readonly figures: Figures = { inTime: 0, late: 0, refused: 0, turnedAway: 0, broken: 0 };
  readonly #random: Random;
  readonly #way: Way;
  readonly #shed: Shed;
  readonly #backends: Backend[];
  readonly #nodes: PlayedNode[];

  constructor(way: Way, shed: Shed, seed: number) {
    this.#way = way;
    this.#shed = shed;
    this.#random = new Random(seed);
    this.#backends = Array.from({ length: BACKENDS }, (_, index) => ({
      id: `i${index}`,
      sheds: index < shed.backends,
      asked: [],
    }));
    this.#nodes = Array.from({ length: NODES }, (_, index) => this.#newNode(seed * NODES + index));
    void this.#callers();
  }

  #newNode(seed: number): PlayedNode {
    const fleet = new FleetState();
    for (const { id } of this.#backends) fleet.applyBackend(1, describe(id));
    const { clock } = this;
    const backoffs = new BackendBackoffs(clock);
    const options = { fleet, backoffs, rateLimits: noRateLimits(clock), clock, othersServe: () => true };
    const availability =
      this.#way === 'built' || this.#way === 'ignore'
        ? new BackendAvailability(options)
        : new OtherWay(this.#way, options);
    return { picker: new LeastLoadedPicker(fleet, availability, clock, new Random(seed)), backoffs };
  }

  async #callers(): Promise<void> {
    while (this.clock.now() < SECONDS * 1000) {
      await this.clock.sleep(this.#random.exponential(1000 / PER_SECOND));
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
      if (tries === TRIES || leftMs <= 0) {
        this.figures.refused += 1;
        return;
      }
      await this.clock.sleep(Math.min(answer.retryAfterMs, leftMs * HEEDED_SHARE));
    }
  }

  async #serve(node: number, sentMs: number): Promise<Answer> {
    const own = this.#nodes[node];
    if (own === undefined) throw new Error('no such node');
    let excluded: string[] = [];
    for (let sends = 0; sends < MOST_SENDS; sends += 1) {
      const ageMs = this.clock.now() - sentMs;
      const picked = await own.picker.pick({ ...CONTEXT, excluded, ageMs }, NEVER);
      if (picked.kind === 'none') {
        return { kind: 'refused', retryAfterMs: picked.retryAfterMs ?? RETRY_UNTOLD_MS };
      }
      await this.clock.sleep(WAY_MS);
      const backend = this.#backends.find(({ id }) => id === picked.backend.id);
      const isServed = backend !== undefined && this.#arrive(backend, node);
      await this.clock.sleep(isServed ? WORK_MS + WAY_MS : WAY_MS);
      picked.finish(isServed ? 'served' : 'refused');
      if (isServed) return { kind: 'served' };
      if (this.#way === 'ignore') excluded = [...excluded, picked.backend.id];
      else own.backoffs.note(picked.backend.id, this.#shed.backoffMs);
    }
    return { kind: 'refused', retryAfterMs: RETRY_UNTOLD_MS };
  }

  /** Whether the backend runs a request that reaches it. */
  #arrive(backend: Backend, node: number): boolean {
    const nowMs = this.clock.now();
    for (const asked of backend.asked) {
      if (asked.node !== node || nowMs < asked.fromMs || nowMs > asked.toMs) continue;
      asked.arrivals += 1;
      if (asked.arrivals === MOST_ARRIVALS + 1) this.figures.broken += 1;
    }
    const isShedding = backend.sheds && nowMs >= SHED_FROM_MS && nowMs < SHED_FROM_MS + SHED_MS;
    if (!isShedding || this.#random.next() >= this.#shed.share) return true;
    this.figures.turnedAway += 1;
    const toMs = nowMs + this.#shed.backoffMs;
    backend.asked.push({ node, fromMs: nowMs + UNDER_WAY_MS, toMs, arrivals: 0 });
    return false;
  }
}

function describe(id: string): BackendDescription {
  return { id, service: SERVICE, address: `${id}:1`, zone: 'a', state: 'ready', slots: 6, models: [] };
}

const NEVER = new AbortController().signal;
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

async function play(way: Way, shed: Shed): Promise<Figures> {
  const sum: Figures = { inTime: 0, late: 0, refused: 0, turnedAway: 0, broken: 0 };
  for (const seed of SEEDS) {
    const { clock, figures } = await played(way, shed, seed);
    if (clock.now() < SECONDS * 1000) throw new Error('not played to its end');
    for (const name of Object.keys(sum) as (keyof Figures)[]) sum[name] += figures[name];
  }
  return sum;
}

async function played(way: Way, shed: Shed, seed: number): Promise<Play> {
  const one = new Play(way, shed, seed);
  await one.clock.runUntil(SECONDS * 1000 + 3 * DEADLINE_MS);
  return one;
}

const WAYS: readonly Way[] = ['ignore', 'elsewhere', 'time-left', 'wait', 'built'];
const SHEDS: readonly Shed[] = [
  { backends: 1, share: 0.4, backoffMs: 3000 },
  { backends: 2, share: 0.7, backoffMs: 1500 },
  { backends: 3, share: 0.4, backoffMs: 700 },
  { backends: 3, share: 0.4, backoffMs: 3000 },
  { backends: 3, share: 1, backoffMs: 1500 },
];

test('a request for which nothing is left here waits or goes elsewhere: most are served so, and no time asked for is broken', async (t) => {
  for (const shed of SHEDS) {
    const rows = new Map<Way, Figures>();
    for (const way of WAYS) rows.set(way, await play(way, shed));
    for (const [way, figures] of rows) {
      const name = `${shed.backends} of ${BACKENDS} shed ${shed.share}, ask ${shed.backoffMs} ms`;
      t.log(`${name}: ${way} ${JSON.stringify(figures)}`);
      if (way !== 'ignore') t.is(figures.broken, 0, way);
    }
    const built = rows.get('built')?.inTime ?? 0;
    for (const way of ['elsewhere', 'time-left', 'wait'] as const) {
      t.true(built >= (rows.get(way)?.inTime ?? 0), `${way} serves more in time`);
    }
  }
});
