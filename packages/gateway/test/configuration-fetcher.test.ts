import { createHash } from 'node:crypto';
import { deflateRawSync } from 'node:zlib';
import { VirtualClock } from '@canvasridge/clock';
import { FleetState, type ServingConfiguration } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { ConfigurationFetcher, ConfigurationParts, type PartReply, type PartRequest } from '../src/index.js';
import { configuration } from './harness.js';
import { addressOf, idAt } from './peer-addresses.js';

const ROUTES = 3000;
const NO_WAITING = { forPeer: 0, forAll: 0 };

/** Too large for one part, even when packed. */
function largeConfiguration(version: number): ServingConfiguration {
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

/** One node that fetches, and peers with scripted answers. */
class FetchingNode {
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
        to: (address) => ({
          call: async (_method, params, timeoutMs) => {
            const request = params as PartRequest;
            const peer = idAt(address);
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

test('a configuration is fetched in parts, each requested once', async (t) => {
  const node = new FetchingNode();
  node.peers.set('near', holderOf(largeConfiguration(2)));
  node.fetcher.offered(2, addressOf('near'), true);
  await node.clock.runUntil(1000);
  t.is(node.own.configurationVersion, 2);
  t.is(node.own.routes?.configuration.routes.length, ROUTES);
  const offsets = node.asked.map(({ request }) => request.offset);
  t.true(offsets.length > 2);
  t.is(new Set(offsets).size, offsets.length);
});

test('if a peer stops answering, the next one sends only the parts that are still missing', async (t) => {
  const node = new FetchingNode();
  const held = largeConfiguration(2);
  const first = holderOf(held);
  let answered = 0;
  node.peers.set('first', (request) => ((answered += 1) > 2 ? undefined : first(request)));
  node.peers.set('second', holderOf(held));
  node.fetcher.offered(2, addressOf('first'), true);
  node.fetcher.offered(2, addressOf('second'), true);
  await node.clock.runUntil(2000);
  t.is(node.own.configurationVersion, 2);
  const fromSecond = node.asked.filter(({ peer }) => peer === 'second');
  t.true(fromSecond.length > 0);
  t.true(fromSecond.every(({ request }) => request.offset > 0));
});

test('a newer configuration replaces one that is partly fetched', async (t) => {
  const node = new FetchingNode();
  const older = holderOf(largeConfiguration(2));
  const newer = holderOf(largeConfiguration(3));
  let answered = 0;
  node.peers.set('near', (request) => ((answered += 1) > 1 ? newer(request) : older(request)));
  node.fetcher.offered(2, addressOf('near'), true);
  node.fetcher.offered(3, addressOf('near'), true);
  await node.clock.runUntil(2000);
  t.is(node.own.configurationVersion, 3);
});

test('a peer whose link is full is asked again, and a peer of another zone only after a delay', async (t) => {
  const node = new FetchingNode();
  node.peers.set('far', holderOf(largeConfiguration(2)));
  node.fetcher.offered(2, addressOf('far'), false);
  await node.clock.runUntil(350);
  t.is(node.asked.length, 0);
  await node.clock.runUntil(1000);
  t.is(node.own.configurationVersion, 2);

  const busy = new FetchingNode();
  const held = holderOf(largeConfiguration(2));
  busy.peers.set('near', (request) => (busy.clock.now() < 200 ? { kind: 'busy' } : held(request)));
  busy.fetcher.offered(2, addressOf('near'), true);
  await busy.clock.runUntil(1000);
  t.is(busy.own.configurationVersion, 2);
  t.true(busy.asked.length < 20, `${busy.asked.length} calls`);
});

test('parts that do not match their digest are rejected, and another peer is asked', async (t) => {
  const node = new FetchingNode();
  const held = holderOf(largeConfiguration(2));
  node.peers.set('wrong', (request) => {
    const reply = held(request);
    return reply?.kind === 'part' ? { ...reply, digest: 'other' } : reply;
  });
  node.peers.set('right', held);
  node.fetcher.offered(2, addressOf('wrong'), true);
  node.fetcher.offered(2, addressOf('right'), true);
  await node.clock.runUntil(2000);
  t.is(node.own.configurationVersion, 2);
});

test('a peer with too many bytes waiting to be sent sends no part', (t) => {
  const state = new FleetState();
  state.applyConfiguration(largeConfiguration(2));
  const parts = new ConfigurationParts(state);
  const request: PartRequest = { above: 1, offset: 0 };
  t.is(parts.answer(request, { forPeer: 1_000_000, forAll: 1_000_000 }).kind, 'busy');
  t.is(parts.answer(request, { forPeer: 0, forAll: 100_000_000 }).kind, 'busy');
  t.is(parts.answer({ above: 2, offset: 0 }, NO_WAITING).kind, 'none');
});

/** A peer whose configuration has a service that an earlier build let through. */
const SPOILED_PEERS = {
  'a text for a limit': { ...configuration({}, undefined, 2), limits: { maxHeaderBytes: '8192' } },
  'a service without a name': { ...configuration({}, undefined, 2), services: [{ maxConnections: 4 }] },
  'a list for the whole': [],
};

for (const [what, spoiled] of Object.entries(SPOILED_PEERS)) {
  // Guards against routes that are cast from a peer's message and end requests, and against a fetch with each announcement.
  test(`a configuration with ${what} is refused, and not fetched again from that peer`, async (t) => {
    const node = new FetchingNode();
    node.peers.set('near', packedPeer(spoiled));
    for (let second = 1; second <= 60; second += 1) {
      node.fetcher.offered(2, addressOf('near'), true);
      await node.clock.runUntil(second * 1000);
    }
    t.is(node.own.configurationVersion, 0);
    t.is(node.asked.length, 1);
    node.peers.set('far', holderOf(configuration({}, undefined, 2)));
    node.fetcher.offered(2, addressOf('far'), true);
    await node.clock.runUntil(70_000);
    t.is(node.own.configurationVersion, 2);
  });
}

function packedPeer(value: unknown): Peer {
  const bytes = deflateRawSync(JSON.stringify(value));
  const digest = createHash('sha1').update(bytes).digest('base64');
  return () => ({
    kind: 'part',
    version: 2,
    digest,
    totalBytes: bytes.length,
    offset: 0,
    data: bytes.toString('base64'),
  });
}

// Guards against an answer of another form that ends the fetch for good, so that no later version arrives.
test('an answer that is no part counts as none', async (t) => {
  const node = new FetchingNode();
  const spoiled = [null, 7, {}, { kind: 'part' }, { kind: 'part', version: 2, digest: 1, offset: 'x' }];
  for (const reply of spoiled) {
    node.peers.set('near', () => reply as unknown as PartReply);
    node.fetcher.offered(2, addressOf('near'), true);
    await node.clock.runUntil(node.clock.now() + 1000);
  }
  node.peers.set('near', holderOf(configuration({}, undefined, 2)));
  node.fetcher.offered(2, addressOf('near'), true);
  await node.clock.runUntil(node.clock.now() + 1000);
  t.is(node.own.configurationVersion, 2);
});

// Guards against fields of a later build that are lost on their way through a node of this one.
test('fields of later builds are passed on', async (t) => {
  const node = new FetchingNode();
  const later = { ...configuration({}, undefined, 2), later: 1 };
  node.peers.set('near', holderOf(later));
  node.fetcher.offered(2, addressOf('near'), true);
  await node.clock.runUntil(1000);
  t.like(node.own.routes?.configuration, { version: 2, later: 1 });
});

// An answer that can't be read ended the process, and would have left its part in the next fetch.
test('after an answer that fails the fetch, the next offer starts a new one', async (t) => {
  const node = new FetchingNode();
  const sound = holderOf(largeConfiguration(2));
  node.peers.set('garbled', () => ({ kind: 'part' }) as never);
  node.peers.set('sound', sound);
  node.fetcher.offered(2, addressOf('garbled'), true);
  await node.clock.runUntil(1000);
  node.fetcher.offered(2, addressOf('sound'), true);
  await node.clock.runUntil(2000);
  t.is(node.own.configurationVersion, 2);
});
