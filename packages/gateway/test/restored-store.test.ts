import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { DRAIN_MS, HEARTBEAT_MS, RestoredNode, RestoredStore, backend } from './restored-fleet.js';

const SEEDS = Number(process.env['CANVASRIDGE_RESTORED_SEEDS'] ?? 6);
const DURATION_MS = 60_000;
const SETTLED_MS = 3000;
/**
 * By this time after the store was restored, a live backend whose entry was lost must receive requests again.
 */
const REUSE_WITHIN_MS = 3 * HEARTBEAT_MS + 2000 + DRAIN_MS;
const BACKENDS = 12;
/** Number of nodes simulated in a larger fleet: its readers, and some that follow them. */
const MAX_SIMULATED = 10;
const CHECK_PERIOD_MS = 50;
const MAX_RESTORE_GAP_MS = 9000;

interface RunResult {
  /**
   * Number of checks at which a node would have given a request to a backend too long after its departure was
   * acknowledged.
   */
  readonly late: number;
  /**
   * Number of checks at which a node would have given a request to a backend although it had known that it
   * leaves.
   */
  readonly usedAgain: number;
  /** Number of checks at which a node gave a live backend nothing, long after the store was restored. */
  readonly unused: number;
  readonly checked: number;
}

/** Backends that join, change and leave while the store is repeatedly restored from a copy. */
class Backends {
  readonly leftMs = new Map<string, number>();
  readonly alive = new Set<string>();
  readonly #store: RestoredStore;
  readonly #clock: VirtualClock;
  readonly #random: Random;
  #next = 0;

  constructor(store: RestoredStore, clock: VirtualClock, random: Random) {
    this.#store = store;
    this.#clock = clock;
    this.#random = random;
  }

  async add(): Promise<void> {
    this.#next += 1;
    const id = `e${this.#next}`;
    this.alive.add(id);
    await this.#store.write(id, backend(id, 'ready'));
    void this.#live(id);
  }

  async #live(id: string): Promise<void> {
    const changes = this.#random.integer(20);
    for (let change = 0; change < changes; change += 1) {
      await this.#clock.sleep(200 + this.#random.next() * 2500);
      await this.#store.write(id, backend(id, 'ready', 5 + change));
    }
    await this.add();
    const announces = this.#random.next() < 0.6;
    await this.#store.write(id, announces ? backend(id, 'draining') : undefined);
    this.leftMs.set(id, this.#clock.now());
    await this.#clock.sleep(5000);
    this.alive.delete(id);
    if (announces) await this.#store.write(id, undefined);
  }
}

/** Checks which backends each node would use, and counts violations. */
class ViolationChecker implements RunResult {
  late = 0;
  usedAgain = 0;
  unused = 0;
  checked = 0;
  readonly #known = new Set<string>();
  readonly #store: RestoredStore;
  readonly #backends: Backends;

  constructor(store: RestoredStore, backends: Backends) {
    this.#store = store;
    this.#backends = backends;
  }

  check({ state, index }: RestoredNode, nowMs: number): void {
    for (const [id, leftMs] of this.#backends.leftMs) {
      if (!this.#backends.alive.has(id)) continue;
      const isUsed = state.backend(id) !== undefined && !state.isLeaving(id);
      this.#checkUsedAgain(`${index} ${id}`, state.isLeaving(id), isUsed);
      if (!this.#mustBeKnown(leftMs, nowMs)) continue;
      this.checked += 1;
      if (isUsed) this.late += 1;
    }
    if (this.#store.isUnavailable || nowMs - this.#store.lastTroubleMs < REUSE_WITHIN_MS) return;
    for (const id of this.#backends.alive) {
      if (!this.#backends.leftMs.has(id) && state.isLeaving(id)) this.unused += 1;
    }
  }

  #checkUsedAgain(key: string, isLeaving: boolean, isUsed: boolean): void {
    if (isLeaving) this.#known.add(key);
    else if (isUsed && this.#known.has(key)) this.usedAgain += 1;
  }

  /**
   * The bound for a departure starts with its acknowledgement, or once the store has settled after a later
   * restore.
   */
  #mustBeKnown(leftMs: number, nowMs: number): boolean {
    const { isUnavailable, lastTroubleMs } = this.#store;
    const sinceMs = lastTroubleMs > leftMs ? lastTroubleMs + SETTLED_MS : leftMs;
    return !isUnavailable && nowMs - sinceMs > DRAIN_MS;
  }
}

async function run(seed: number, count: number): Promise<RunResult> {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const store = new RestoredStore(clock, random);
  const nodes: RestoredNode[] = [];
  const simulated = count <= MAX_SIMULATED ? count : MAX_SIMULATED;
  for (let index = 0; index < simulated; index += 1)
    nodes.push(new RestoredNode(index, nodes, { clock, store, count }));
  const backends = new Backends(store, clock, random);
  for (let added = 0; added < BACKENDS; added += 1) void backends.add();
  void restoreRepeatedly(store, backends, clock, random);
  const checker = new ViolationChecker(store, backends);
  for (let atMs = SETTLED_MS; atMs < DURATION_MS; atMs += CHECK_PERIOD_MS) {
    await clock.runUntil(atMs);
    for (const node of nodes) checker.check(node, atMs);
  }
  return checker;
}

async function restoreRepeatedly(
  store: RestoredStore,
  backends: Backends,
  clock: VirtualClock,
  random: Random,
): Promise<void> {
  for (;;) {
    await clock.sleep(random.next() * MAX_RESTORE_GAP_MS);
    await store.restore((id) => backends.alive.has(id));
  }
}

for (const count of [9, 83]) {
  // Guards against requests to leaving backends after the publishing store was restored from copies, in small
  // and large fleets.
  test(`a fleet of ${count} follows departures while the store is restored from copies, in ${SEEDS} schedules`, async (t) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { late, usedAgain, unused, checked } = await run(seed, count);
      t.log(`seed ${seed}: ${late} late of ${checked}, ${usedAgain} used again, ${unused} unused`);
      t.true(checked > 1000, `seed ${seed}: departures were checked`);
      t.is(late, 0, `seed ${seed}: late`);
      t.is(usedAgain, 0, `seed ${seed}: used again`);
      t.is(unused, 0, `seed ${seed}: live backends that receive no requests`);
    }
  });
}
