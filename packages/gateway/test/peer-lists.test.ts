/**
 * Lists of backends from nodes of another build, which holds an entry that is not valid here: it costs that backend only,
 * and the list is not sent again with each answer.
 */
import { socketAddress, type SocketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription } from '@canvasridge/serving';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import fc from 'fast-check';
import {
  ConfigurationFreshness,
  StateFollower,
  type FollowAnswer,
  type FollowRequest,
  type PeerCaller,
} from '../src/index.js';
import { StateExchange, snapshotFor, type SnapshotRequest } from '../src/cluster/state-exchange.js';
import { BARE_CONFIGURATION, NOTHING_WAITS, followerOptions } from './follower-options.js';
import { addressOf, idAt } from './peer-addresses.js';

const MINUTE_MS = 60_000;
const DRAIN_MS = 3000;
const NODES = 40;
const READERS = 6;
/** A list for each reader, and one more each after it has changed. */
const MAX_LISTS = 2 * READERS;
const IDS = Array.from({ length: NODES }, (_, index) => `node-${index}`);

function backend(id: string, address = '10.0.0.1:1'): BackendDescription {
  const models = [{ name: 'base', adapters: [{ name: 'a', version: 1 }] }];
  // An earlier build takes this text for an address.
  return {
    id,
    service: 'llm',
    address: address as SocketAddress,
    zone: 'z',
    state: 'ready',
    slots: 4,
    models,
  };
}

/** A node's state with the backends e1 to e3, of which e2 may be spoiled. */
function stateWith(e2: BackendDescription | undefined): FleetState {
  const fleet = new FleetState();
  fleet.applyConfiguration(BARE_CONFIGURATION);
  fleet.replaceBackends(10, [
    { revision: 5, value: backend('e1') },
    ...(e2 === undefined ? [] : [{ revision: 7, value: e2 }]),
    { revision: 6, value: backend('e3') },
  ]);
  return fleet;
}

function recordingTelemetry(clock: VirtualClock): {
  readonly telemetry: Telemetry;
  readonly lines: string[];
} {
  const lines: string[] = [];
  const logger = new EventLogger('test', 'info', (line) => lines.push(line));
  return { telemetry: new Telemetry({ processName: 'test', clock, logger }), lines };
}

interface Play {
  readonly clock: VirtualClock;
  readonly own: FleetState;
  readonly lines: readonly string[];
  /** Answers that contained a list. */
  readonly lists: FollowAnswer[];
}

/** A node that follows readers with these states, of which it knows nothing at first. */
function follow(states: readonly FleetState[]): Play {
  const clock = new VirtualClock();
  const own = new FleetState();
  own.applyConfiguration(BARE_CONFIGURATION);
  own.replaceBackends(1, []);
  const { telemetry, lines } = recordingTelemetry(clock);
  const lists: FollowAnswer[] = [];
  const readers = states.map((fleet, index) => {
    const reader = new StateFollower(
      followerOptions({
        clock,
        fleet,
        ids: IDS,
        selfId: IDS[index] ?? '',
        drainMs: DRAIN_MS,
        answer: () => undefined,
      }),
    );
    reader.onStoreAnswered(0);
    return reader;
  });
  const answer = (address: string, known: FollowRequest): FollowAnswer | undefined => {
    const reader = readers[IDS.indexOf(address)];
    reader?.onStoreAnswered(clock.now());
    const told = reader?.answer(known, NOTHING_WAITS);
    if (told?.listing !== undefined) lists.push(told);
    return told;
  };
  const options = followerOptions({
    clock,
    fleet: own,
    ids: IDS,
    selfId: IDS.at(-1) ?? '',
    drainMs: DRAIN_MS,
    answer,
  });
  const follower = new StateFollower({ ...options, telemetry });
  follower.start();
  return { clock, own, lines, lists };
}

const idsOf = (fleet: FleetState): string[] => [...fleet.allBackends()].map(({ value }) => value.id).sort();

// Guards against an address that a reader of an earlier build takes for valid and that ends requests here.
test('an entry that is not valid costs its backend only, and is logged once', async (t) => {
  const { clock, own, lines } = follow([stateWith(backend('e2', '127.0.0.1:70000'))]);
  await clock.runUntil(MINUTE_MS);
  t.deepEqual(idsOf(own), ['e1', 'e3']);
  const unread = lines.filter((line) => line.includes('peer.entry-unread'));
  t.is(unread.length, 1);
  t.regex(unread[0] ?? '', /subject=e2 revision=7 field=value\.address/);
});

// Guards against a list of 600 backends with each answer, as the digests of the two nodes stay different.
test('a reader that holds an entry which is not valid here sends its list once', async (t) => {
  const { clock, lists } = follow([stateWith(backend('e2', '127.0.0.1:70000'))]);
  await clock.runUntil(MINUTE_MS);
  t.is(lists.length, 1);
});

// Guards against lists that are sent in turn by readers of two builds, which hold different ones.
test('readers of two builds, one of which leaves the entry out, send few lists', async (t) => {
  const states = Array.from({ length: READERS }, (_, index) =>
    stateWith(index % 2 === 0 ? backend('e2', '127.0.0.1:70000') : undefined),
  );
  const { clock, own, lists } = follow(states);
  await clock.runUntil(MINUTE_MS);
  t.deepEqual(idsOf(own), ['e1', 'e3']);
  t.true(lists.length <= MAX_LISTS, `${lists.length} lists`);
});

// Guards against a repaired entry that is not noticed because the digest of the spoiled one is still sent.
test('an entry that is repaired is applied', async (t) => {
  const state = stateWith(backend('e2', '127.0.0.1:70000'));
  const { clock, own, lists } = follow([state]);
  await clock.runUntil(MINUTE_MS);
  state.applyBackend(12, backend('e2'));
  await clock.runUntil(2 * MINUTE_MS);
  t.deepEqual(idsOf(own), ['e1', 'e2', 'e3']);
  t.is(lists.length, 2);
});

// Guards against a follower that ends, or loses its list, by an answer of another form.
test('an answer that is not valid is no answer, and is logged once', async (t) => {
  const clock = new VirtualClock();
  const own = stateWith(undefined);
  const { telemetry, lines } = recordingTelemetry(clock);
  const answer = (): FollowAnswer =>
    ({ backendsRevision: 1e300, listing: { backends: 7 } }) as unknown as FollowAnswer;
  const options = followerOptions({
    clock,
    fleet: own,
    ids: IDS,
    selfId: 'node-39',
    drainMs: DRAIN_MS,
    answer,
  });
  new StateFollower({ ...options, telemetry }).start();
  await clock.runUntil(MINUTE_MS);
  t.deepEqual([idsOf(own), own.backendsRevision], [['e1', 'e3'], 10]);
  t.is(lines.filter((line) => line.includes('peer.answer-unread')).length, READERS);
});

// Guards against the same with nodes that have lost the store, where any peer may be asked.
test('peers that hold an entry which is not valid here send few snapshots', async (t) => {
  const clock = new VirtualClock();
  const fleet = new FleetState();
  const states = new Map(
    IDS.map((id, index) => [id, stateWith(index % 2 === 0 ? backend('e2', '300.0.0.1:80') : undefined)]),
  );
  const { telemetry, lines } = recordingTelemetry(clock);
  let snapshots = 0;
  const network: PeerCaller = {
    to: (address) => ({
      call: (_method, params) => {
        const state = states.get(idAt(address)) ?? new FleetState();
        const freshness = new ConfigurationFreshness(clock, state);
        const answer = snapshotFor(state, freshness, params as SnapshotRequest, NOTHING_WAITS);
        if (answer.snapshot !== undefined) snapshots += 1;
        return Promise.resolve(JSON.parse(JSON.stringify(answer)));
      },
    }),
  };
  const exchange = new StateExchange({
    clock,
    fleet,
    network,
    telemetry,
    random: new Random(1),
    peers: () => IDS.map(addressOf),
    freshness: new ConfigurationFreshness(clock, fleet),
    onConfigurationOffered: () => undefined,
  });
  exchange.start();
  await clock.runUntil(10 * MINUTE_MS);
  exchange.stop();
  t.deepEqual(idsOf(fleet), ['e1', 'e3']);
  t.is(fleet.backend('e3')?.address, socketAddress('10.0.0.1:1'));
  // Each peer sends one, and at most one more after a peer of the other build was taken for one like it.
  t.true(snapshots <= 2 * NODES, `${snapshots} snapshots`);
  t.is(lines.filter((line) => line.includes('peer.entry-unread')).length, 1);
});

const spoiledValue = fc.oneof(
  fc.constantFrom(
    null,
    0,
    -1,
    '',
    'x',
    1e300,
    [],
    {},
    '127.0.0.1:0',
    '127.0.0.1:70000',
    '300.0.0.1:80',
    'a:b',
  ),
  fc.string({ maxLength: 300 }),
  fc.double({ noNaN: true, noDefaultInfinity: true }),
);

// Guards against a field whose spoiled value ends the reading, or is taken over.
test('any spoiled field of an entry leaves the other backends as they were, and costs one list', async (t) => {
  const field = fc.constantFrom('service', 'address', 'zone', 'state', 'slots', 'softwareVersion');
  await fc.assert(
    fc.asyncProperty(field, spoiledValue, async (name, value) => {
      const spoiled = { ...backend('e2'), [name]: value };
      const { clock, own, lists } = follow([stateWith(spoiled)]);
      await clock.runUntil(MINUTE_MS / 4);
      const e2 = own.backend('e2');
      t.deepEqual(
        idsOf(own).filter((id) => id !== 'e2'),
        ['e1', 'e3'],
      );
      t.true(e2 === undefined || typeof e2[name as 'zone'] === (name === 'slots' ? 'number' : 'string'));
      t.is(lists.length, 1);
    }),
    { seed: 82, numRuns: 60 },
  );
});
