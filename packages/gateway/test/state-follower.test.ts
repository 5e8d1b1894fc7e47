import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription } from '@canvasridge/serving';
import test from 'ava';
import { StateFollower, departureBudget, type FollowAnswer, type FollowRequest } from '../src/index.js';
import { BARE_CONFIGURATION, NOTHING_WAITS, followerOptions } from './follower-options.js';

const DRAIN_MS = 3000;
const BUDGET = departureBudget(DRAIN_MS);
function backend(id: string, state: 'ready' | 'draining', adapters: readonly string[]): BackendDescription {
  const held = adapters.map((name) => ({ name, version: 1 }));
  return {
    id,
    service: 'llm',
    address: socketAddress('127.0.0.1:1'),
    zone: 'z',
    state,
    slots: 4,
    models: [{ name: 'base', adapters: held }],
  };
}

/** A fleet of `count` nodes in which those asked answer as readers; the node under test is the last one. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly own = new FleetState();
  readonly published = new FleetState();
  readonly asked: string[] = [];
  readonly follower: StateFollower;
  fresh: (id: string) => boolean = () => true;
  silent = false;
  /** Whether readers are of a build that knows store eras. */
  namesEra = true;

  readonly #zoneOf: (index: number) => string;

  /** @param zoneOf zone of a node, by its number */
  constructor(count: number, zoneOf: (index: number) => string = () => 'a') {
    this.#zoneOf = zoneOf;
    const ids = Array.from({ length: count }, (_, index) => `node-${index}`);
    const reader = this.#follower(this.published, ids, ids[0] ?? '', () => undefined);
    this.published.applyConfiguration(BARE_CONFIGURATION);
    this.published.advanceOperatorRevision(10);
    this.published.replaceBackends(10, [{ revision: 5, value: backend('e1', 'ready', ['a']) }]);
    this.follower = this.#follower(this.own, ids, ids.at(-1) ?? '', (address, known) => {
      this.asked.push(address);
      if (this.silent) return undefined;
      const told = reader.answer(known, NOTHING_WAITS);
      const answered = this.namesEra ? told : { ...told, era: undefined };
      return this.fresh(address) ? { ...answered, ageMs: 0 } : answered;
    });
  }

  /** Lets the node read the store itself once, as after its start. */
  readOnce(): void {
    this.own.applyConfiguration(BARE_CONFIGURATION);
    this.own.replaceBackends(9, [{ revision: 5, value: backend('e1', 'ready', ['a']) }]);
  }

  #follower(
    fleet: FleetState,
    ids: readonly string[],
    selfId: string,
    answer: (address: string, known: FollowRequest) => FollowAnswer | undefined,
  ): StateFollower {
    const zoneOf = (id: string): string => this.#zoneOf(numberOf(id));
    return new StateFollower(
      followerOptions({ clock: this.clock, fleet, ids, selfId, drainMs: DRAIN_MS, zoneOf, answer }),
    );
  }
}

function numberOf(id: string): number {
  return Number(id.slice('node-'.length));
}

test('each node of a small fleet reads the store, and asks no other node', async (t) => {
  const fleet = new Fleet(9);
  fleet.readOnce();
  fleet.follower.start();
  await fleet.clock.runUntil(5000);
  t.true(fleet.follower.reads);
  t.deepEqual(fleet.asked, []);
});

test('in a large fleet a node follows readers, and learns that a backend is leaving', async (t) => {
  const fleet = new Fleet(40);
  fleet.readOnce();
  fleet.follower.start();
  await fleet.clock.runUntil(1000);
  t.false(fleet.follower.reads);
  fleet.published.applyBackend(12, backend('e1', 'draining', ['a']));
  await fleet.clock.runUntil(1000 + 2 * BUDGET.pollMs);
  t.is(fleet.own.backend('e1')?.state, 'draining');
  t.true(new Set(fleet.asked).size > 1);
  t.true(fleet.asked.every((id) => Number(id.slice('node-'.length)) < 6));
});

test('a follower asks the reader of its own zone, and others when that one is behind', async (t) => {
  const fleet = new Fleet(40, (index) => String(index % 5));
  fleet.readOnce();
  fleet.follower.start();
  await fleet.clock.runUntil(3000);
  t.deepEqual(new Set(fleet.asked), new Set(['node-4']));
  fleet.fresh = (id) => id !== 'node-4';
  await fleet.clock.runUntil(6000);
  t.true(fleet.asked.slice(-6).some((id) => id !== 'node-4'));
  t.false(fleet.follower.reads);
});

test('each zone has a reader before any zone has a second one', async (t) => {
  const fleet = new Fleet(40, (index) => (index < 10 ? 'a' : index === 10 ? 'b' : 'c'));
  fleet.readOnce();
  fleet.follower.start();
  await fleet.clock.runUntil(3000);
  t.deepEqual(new Set(fleet.asked), new Set(['node-11']), 'the node of its own zone that ranks first');
  fleet.fresh = () => false;
  await fleet.clock.runUntil(6000);
  const numbers = [...new Set(fleet.asked)].map(numberOf).sort((a, b) => a - b);
  t.deepEqual(numbers, [0, 1, 2, 3, 10, 11]);
});

test('a node that knows no configuration and gets no answer reads the store itself', async (t) => {
  const fleet = new Fleet(40);
  fleet.silent = true;
  fleet.follower.start();
  await fleet.clock.runUntil(100);
  t.true(fleet.follower.reads);
});

test('a reader without contact to the store is passed over, and without any other the node reads the store itself', async (t) => {
  const fleet = new Fleet(40);
  fleet.readOnce();
  fleet.fresh = (id) => id === 'node-3';
  fleet.follower.start();
  await fleet.clock.runUntil(6000);
  t.false(fleet.follower.reads);
  fleet.fresh = () => false;
  await fleet.clock.runUntil(6000 + BUDGET.fallbackReadAgeMs + 2 * BUDGET.pollMs);
  t.true(fleet.follower.reads);
  fleet.fresh = () => true;
  await fleet.clock.runUntil(10_000);
  t.false(fleet.follower.reads);
});

// Guards against an old list confirmed by a reader of an earlier build, which ignores what the store wrote
// again.
test('readers that state no era are followed until a new era starts, and then the node reads the store itself', async (t) => {
  const fleet = new Fleet(40);
  fleet.namesEra = false;
  fleet.own.enterEra(1);
  fleet.readOnce();
  fleet.follower.start();
  await fleet.clock.runUntil(6000);
  t.false(fleet.follower.reads);
  fleet.own.enterEra(2);
  await fleet.clock.runUntil(6000 + BUDGET.fallbackReadAgeMs + 2 * BUDGET.pollMs);
  t.true(fleet.follower.reads);
  fleet.namesEra = true;
  fleet.published.enterEra(2);
  await fleet.clock.runUntil(12_000);
  t.false(fleet.follower.reads, 'readers that have read the new era are followed again');
});

test('loading and unloading adapters on a backend is no change for followers', (t) => {
  const empty = new FleetState().routingDigest;
  const one = new FleetState();
  one.applyBackend(5, backend('e1', 'ready', ['a']));
  const state = new FleetState();
  state.applyBackend(5, backend('e1', 'ready', ['a']));
  state.applyBackend(6, backend('e1', 'ready', ['a', 'b']));
  const digests = [empty, one.routingDigest, state.routingDigest];
  state.applyBackend(7, backend('e1', 'draining', ['a', 'b']));
  digests.push(state.routingDigest);
  t.is(digests[1], digests[2]);
  t.is(new Set(digests).size, 3);
  state.removeBackend(9, 'e1');
  t.is(state.routingDigest, empty);
});

test('a complete entry replaces a partial one of the same revision', (t) => {
  const published = new FleetState();
  published.replaceBackends(8, [{ revision: 5, value: backend('e1', 'ready', ['a']) }]);
  const own = new FleetState();
  own.applyListing(published.listing());
  t.deepEqual(own.backend('e1')?.models, [{ name: 'base', adapters: [] }]);
  own.replaceBackends(9, [{ revision: 5, value: backend('e1', 'ready', ['a']) }]);
  t.is(own.backend('e1')?.models[0]?.adapters.length, 1);
});
