/**
 * Keys that are revoked while nodes are cut off, frozen or slow. No node may run a request that was sent
 * more than the revocation bound after the revocation. This holds because a node that passes on a
 * configuration says how old its own knowledge is, and a node relies on it for 0.6 of the bound: no path,
 * however many peers it leads through, makes the knowledge appear newer.
 */
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState, type ServingConfiguration } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import {
  ConfigurationFetcher,
  ConfigurationFreshness,
  ConfigurationParts,
  FOLLOW_METHOD,
  PART_METHOD,
  StateFollower,
  departureBudget,
  identifyCaller,
  keyLease,
  type FollowRequest,
  type PartRequest,
} from '../src/index.js';
import { configuration, tenant } from './harness.js';
import { LinkNetwork } from './link-network.js';
import { addressOf } from './peer-addresses.js';
import type { SocketAddress } from '@canvasridge/addresses';

const NODES = 20;
const MBIT = 10;
const REVOCATION_MS = 5000;
const DRAIN_MS = 3000;
const { leaseMs, watchMs } = keyLease(REVOCATION_MS);

const WITH_KEY = configuration({}, [tenant('one', ['key', 'other'])], 2);
const WITHOUT_KEY = configuration({}, [tenant('one', ['other'])], 3);

interface Node {
  readonly id: string;
  readonly state: FleetState;
  readonly freshness: ConfigurationFreshness;
  readonly follower: StateFollower;
  /** Whether the store answers this node. */
  isStoreReachable: boolean;
  /** Until this time the node is frozen: its tasks run, but neither read the store nor ask peers. */
  frozenUntilMs: number;
}

/**
 * A store and nodes, six of which read it; cut off from the store, cut off from each other, or frozen as the
 * schedule says.
 */
class Fleet {
  readonly clock = new VirtualClock();
  readonly nodes: Node[] = [];
  readonly #network = new LinkNetwork(this.clock);
  readonly #ids = Array.from({ length: NODES }, (_, index) => `node-${index}`);
  #published: ServingConfiguration = WITH_KEY;

  constructor() {
    for (const index of this.#ids.keys()) this.nodes.push(this.#newNode(index));
    for (const { follower } of this.nodes) follower.start();
  }

  revoke(): void {
    this.#published = WITHOUT_KEY;
  }

  /** Cuts the node off from all other nodes, in both directions. */
  cutOff(node: Node): void {
    this.#network.silence(node.id);
  }

  /** Whether a node would run a request with the key now. */
  wouldRun({ state, freshness, frozenUntilMs }: Node): boolean {
    if (this.clock.now() < frozenUntilMs || state.routes === undefined) return false;
    const [route] = state.routes.configuration.routes;
    if (route === undefined) return false;
    const found = identifyCaller(state.routes, route, 'key', { ageMs: freshness.ageMs, leaseMs });
    return found.kind === 'identified';
  }

  #newNode(index: number): Node {
    const { clock } = this;
    const id = this.#ids[index] ?? '';
    const state = new FleetState();
    state.replaceBackends(1, []);
    const freshness = new ConfigurationFreshness(clock, state);
    const telemetry = new Telemetry({ processName: 'test', clock });
    const calls = this.#network.callsOf(id);
    const isFrozen = (): boolean => clock.now() < node.frozenUntilMs;
    const network = {
      to: (address: SocketAddress) => ({
        call: (method: string, params: unknown, timeoutMs: number) =>
          isFrozen() ? Promise.resolve(undefined) : calls.to(address).call(method, params, timeoutMs),
      }),
    };
    const fetcher = new ConfigurationFetcher({ clock, fleet: state, network, telemetry });
    const parts = new ConfigurationParts(state);
    const follower = new StateFollower({
      clock,
      fleet: state,
      network,
      telemetry,
      selfId: id,
      nodeCount: () => NODES,
      ranked: () => this.#ids,
      peerAddress: addressOf,
      zoneOf: (peer) => String(this.#ids.indexOf(peer) % 3),
      needsWholeState: () => false,
      budget: departureBudget(DRAIN_MS),
      freshness,
      onConfigurationOffered: (version, address, isSameZone) => fetcher.offered(version, address, isSameZone),
    });
    const node: Node = { id, state, freshness, follower, isStoreReachable: true, frozenUntilMs: 0 };
    this.#network.add(id, MBIT, {
      [FOLLOW_METHOD]: (params, waiting) =>
        isFrozen() ? undefined : follower.answer(params as FollowRequest, waiting),
      [PART_METHOD]: (params, waiting) =>
        isFrozen() ? undefined : parts.answer(params as PartRequest, waiting),
    });
    void this.#keepReading(node, index);
    return node;
  }

  async #keepReading(node: Node, index: number): Promise<void> {
    await this.clock.sleep(index);
    for (;;) {
      const askedMs = this.clock.now();
      const published = this.#published;
      if (node.isStoreReachable && askedMs >= node.frozenUntilMs && node.follower.reads) {
        node.state.applyConfiguration(published);
        node.freshness.confirm(published.version, askedMs);
        node.follower.onStoreAnswered(askedMs);
      }
      await this.clock.sleep(watchMs);
    }
  }
}

/**
 * Runs one schedule; returns when the key was last accepted after its revocation, and how many nodes without
 * a fault refused it before.
 */
async function run(seed: number): Promise<{ lastRunMs: number; refusedBefore: number }> {
  const random = new Random(seed);
  const fleet = new Fleet();
  await fleet.clock.runUntil(4000);
  const revokedMs = 4000 + Math.floor(random.next() * 3000);
  for (const node of fleet.nodes) {
    const draw = random.next();
    const atMs = revokedMs - 1500 + random.next() * 3000;
    if (draw < 0.25) fleet.clock.setTimer(atMs - 4000, () => (node.isStoreReachable = false));
    else if (draw < 0.35) fleet.clock.setTimer(atMs - 4000, () => fleet.cutOff(node));
    else if (draw < 0.5) {
      const forMs = 500 + random.next() * 4000;
      fleet.clock.setTimer(atMs - 4000, () => (node.frozenUntilMs = fleet.clock.now() + forMs));
    }
  }
  const refusedBefore = fleet.nodes.filter((node) => !fleet.wouldRun(node)).length;
  fleet.clock.setTimer(revokedMs - 4000, () => fleet.revoke());
  let lastRunMs = 0;
  for (let nowMs = 4000; nowMs <= revokedMs + 9000; nowMs += 50) {
    await fleet.clock.runUntil(nowMs);
    if (nowMs > revokedMs && fleet.nodes.some((node) => fleet.wouldRun(node))) lastRunMs = nowMs - revokedMs;
  }
  return { lastRunMs, refusedBefore };
}

const SEEDS = Number(process.env['CANVASRIDGE_KEY_LEASE_SEEDS'] ?? 8);

test(`no node accepts a revoked key after the lease, in ${SEEDS} schedules of cuts and freezes`, async (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { lastRunMs, refusedBefore } = await run(seed);
    t.true(lastRunMs <= leaseMs, `seed ${seed}: accepted ${lastRunMs} ms after the revocation`);
    t.is(refusedBefore, 0, `seed ${seed}: nodes without a fault refused the key`);
  }
});

test('the age of a configuration counts from when it was known to be the newest, not from its arrival', async (t) => {
  const clock = new VirtualClock();
  const state = new FleetState();
  const freshness = new ConfigurationFreshness(clock, state);
  t.is(freshness.ageMs, Infinity);
  await clock.runUntil(1000);
  freshness.confirm(2, 400);
  t.is(freshness.ageMs, Infinity, 'a newer version is known that is not in force here');
  await clock.runUntil(1300);
  state.applyConfiguration(WITH_KEY);
  t.is(freshness.ageMs, 900);
  freshness.confirm(3, 1300);
  t.is(freshness.ageMs, 900, 'the version in force here is known to be outdated');
  freshness.confirm(2, 1200);
  t.is(freshness.ageMs, 100);
});
