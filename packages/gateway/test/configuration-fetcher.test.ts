import { VirtualClock } from '@canvasridge/clock';
import { FleetState, type ServingConfiguration } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { ConfigurationFetcher, ConfigurationParts, type PartReply, type PartRequest } from '../src/index.js';
import { configuration } from './harness.js';

const ROUTES = 3000;
const NO_WAITING = { forPeer: 0, forAll: 0 };

/** Too large for one part, also when packed. */
function large(version: number): ServingConfiguration {
  const base = configuration({}, undefined, version);
  const [route] = base.routes;
  if (route === undefined) throw new Error('no route');
  const nameOf = (index: number): string => `${(index * 2_654_435_761) % 4_294_967_296}-${index * version}`;
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    ...route,
    name: nameOf(index),
    pathPrefix: `/${nameOf(index)}/`,
  }));
  return { ...base, routes };
}

type Peer = (request: PartRequest) => PartReply | undefined;

/** One node that fetches, and peers that answer as told. */
class Fetching {
  readonly clock = new VirtualClock();
  readonly own = new FleetState();
  readonly asked: { readonly peer: string; readonly request: PartRequest }[] = [];
  readonly peers = new Map<string, Peer>();
  readonly fetcher: ConfigurationFetcher;

  constructor() {
    this.fetcher = new ConfigurationFetcher({
      clock: this.clock,
      fleet: this.own,
      telemetry: new Telemetry({ processName: 'test', clock: this.clock }),
      network: {
        to: (peer) => ({
          call: async (_method, params, timeoutMs) => {
            const request = params as PartRequest;
            this.asked.push({ peer, request });
            const reply = this.peers.get(peer)?.(request);
            await this.clock.sleep(reply === undefined ? timeoutMs : 5);
            return reply;
          },
        }),
      },
    });
  }
}

function holderOf(held: ServingConfiguration): Peer {
  const state = new FleetState();
  state.applyConfiguration(held);
  const parts = new ConfigurationParts(state);
  return (request) => parts.answer(request, NO_WAITING);
}

test('a configuration comes in parts, each asked for once', async (t) => {
  const fetching = new Fetching();
  fetching.peers.set('near', holderOf(large(2)));
  fetching.fetcher.offered(2, 'near', true);
  await fetching.clock.runUntil(1000);
  t.is(fetching.own.configurationVersion, 2);
  t.is(fetching.own.routes?.configuration.routes.length, ROUTES);
  const offsets = fetching.asked.map(({ request }) => request.offset);
  t.true(offsets.length > 2);
  t.is(new Set(offsets).size, offsets.length);
});

test('where a peer falls silent, the next one gives the rest and nothing that has arrived', async (t) => {
  const fetching = new Fetching();
  const held = large(2);
  const first = holderOf(held);
  let answered = 0;
  fetching.peers.set('first', (request) => ((answered += 1) > 2 ? undefined : first(request)));
  fetching.peers.set('second', holderOf(held));
  fetching.fetcher.offered(2, 'first', true);
  fetching.fetcher.offered(2, 'second', true);
  await fetching.clock.runUntil(2000);
  t.is(fetching.own.configurationVersion, 2);
  const fromSecond = fetching.asked.filter(({ peer }) => peer === 'second');
  t.true(fromSecond.length > 0);
  t.true(fromSecond.every(({ request }) => request.offset > 0));
});

test('a newer configuration takes the place of one that is half here', async (t) => {
  const fetching = new Fetching();
  const older = holderOf(large(2));
  const newer = holderOf(large(3));
  let answered = 0;
  fetching.peers.set('near', (request) => ((answered += 1) > 1 ? newer(request) : older(request)));
  fetching.fetcher.offered(2, 'near', true);
  fetching.fetcher.offered(3, 'near', true);
  await fetching.clock.runUntil(2000);
  t.is(fetching.own.configurationVersion, 3);
});

test('a peer whose link is full is asked again, and a peer of another zone only after a while', async (t) => {
  const fetching = new Fetching();
  fetching.peers.set('far', holderOf(large(2)));
  fetching.fetcher.offered(2, 'far', false);
  await fetching.clock.runUntil(350);
  t.is(fetching.asked.length, 0);
  await fetching.clock.runUntil(1000);
  t.is(fetching.own.configurationVersion, 2);

  const busy = new Fetching();
  const held = holderOf(large(2));
  busy.peers.set('near', (request) => (busy.clock.now() < 200 ? { kind: 'busy' } : held(request)));
  busy.fetcher.offered(2, 'near', true);
  await busy.clock.runUntil(1000);
  t.is(busy.own.configurationVersion, 2);
  t.true(busy.asked.length < 20, `${busy.asked.length} calls`);
});

test('parts that are not what their digest says are refused, and another peer is asked', async (t) => {
  const fetching = new Fetching();
  const held = holderOf(large(2));
  fetching.peers.set('wrong', (request) => {
    const reply = held(request);
    return reply?.kind === 'part' ? { ...reply, digest: 'other' } : reply;
  });
  fetching.peers.set('right', held);
  fetching.fetcher.offered(2, 'wrong', true);
  fetching.fetcher.offered(2, 'right', true);
  await fetching.clock.runUntil(2000);
  t.is(fetching.own.configurationVersion, 2);
});

test('a peer that would have to hold back too much for others gives no part', (t) => {
  const state = new FleetState();
  state.applyConfiguration(large(2));
  const parts = new ConfigurationParts(state);
  const request: PartRequest = { above: 1, offset: 0 };
  t.is(parts.answer(request, { forPeer: 1_000_000, forAll: 1_000_000 }).kind, 'busy');
  t.is(parts.answer(request, { forPeer: 0, forAll: 100_000_000 }).kind, 'busy');
  t.is(parts.answer({ above: 2, offset: 0 }, NO_WAITING).kind, 'none');
});
