/**
 * Guards against a request that is taken from a silent but sound backend and sent through another node to a backend that
 * is silent, too: a node's answer that it reaches the service was relied upon for two seconds.
 */
import { socketAddress } from '@canvasridge/addresses';
import { createServer, type AddressInfo } from 'node:net';
import { Random, VirtualClock } from '@canvasridge/clock';
import type { BackendDescription, BackendService } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test, { type ExecutionContext } from 'ava';
import { BackendConnections } from '../src/backends/backend-connections.js';
import type { ReachesParams, ReachesReply } from '../src/relay/relay-protocol.js';
import { Relays } from '../src/relay/relays.js';
import { BackendHops } from '../src/request/backend-hops.js';
import { PathFleet, SERVICE as ENGINES } from './virtual-paths.js';

const SERVICE: BackendService = { name: 'api', maxConnections: 10, engine: undefined };
const BACKEND: BackendDescription = {
  id: 'i1',
  service: SERVICE.name,
  address: socketAddress('127.0.0.1:1'),
  zone: 'a',
  state: 'ready',
  slots: 4,
  models: [],
};
const NONE = new Set<string>();
const SETTLED_MS = 12_000;
const SILENCE_MS = 2000;

type Answer = (params: ReachesParams) => ReachesReply | undefined;

interface Setup {
  readonly hops: BackendHops;
  /** What the other node says now when it is asked. */
  answer: Answer;
  questions: number;
}

/** A node that has lost its path to the backends, and another one through which it sends requests. */
async function startCutOff(t: ExecutionContext): Promise<Setup> {
  const server = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const clock = new VirtualClock();
  const peer = { id: 'n2', state: 'alive' };
  const relays = new Relays({
    clock,
    random: new Random(1),
    cluster: {
      selfId: 'n1',
      serving: () => [peer] as never,
      busy: () => NONE,
      peerAddress: () => socketAddress(address),
    },
    paths: { hasLost: () => false },
    telemetry: new Telemetry({ processName: 'n1', clock }),
    network: {
      to: () => ({
        call: (_, params) => {
          setup.questions += 1;
          return Promise.resolve(setup.answer(params as ReachesParams));
        },
      }),
    },
  });
  const connections = new BackendConnections();
  const paths = {
    state: () => 'lost' as const,
    beginWait: () => undefined,
    endWait: () => undefined,
    received: () => undefined,
  };
  const hops = new BackendHops({ clock, connections, paths, relays, fleetShare: () => 1 });
  const setup: Setup = { hops, answer: () => ({ reaches: true }), questions: 0 };
  t.teardown(() => {
    relays.close();
    connections.close();
    server.close();
  });
  const first = await hops.open(BACKEND, SERVICE, NONE, false);
  t.is(typeof first === 'string' ? first : first.relay, 'n2');
  if (typeof first !== 'string') first.release({ kind: 'cancelled' });
  return setup;
}

/** The way of a takeover: the id of the relaying node, or why there is none. */
async function takeoverWay({ hops }: Setup): Promise<string | undefined> {
  const hop = await hops.openForTakeover(BACKEND, SERVICE, NONE);
  if (typeof hop === 'string') return hop;
  hop.release({ kind: 'cancelled' });
  return hop.relay;
}

test('a request is not taken over through a node that reached the service before a silence', async (t) => {
  const setup = await startCutOff(t);
  setup.answer = () => ({ reaches: false });
  t.is(await takeoverWay(setup), 'no-path');
});

test('a request is taken over through a node only if the very backend answers that node', async (t) => {
  const setup = await startCutOff(t);
  setup.answer = ({ backend }) => ({ reaches: backend !== BACKEND.id });
  t.is(await takeoverWay(setup), 'no-path');
  setup.answer = ({ backend }) => ({ reaches: backend === BACKEND.id });
  const before = setup.questions;
  t.is(await takeoverWay(setup), 'n2');
  t.is(setup.questions - before, 1);
});

// As an earlier build, which does not read the backend, answers for the service.
test('a request is taken over through a node that says that it reaches the service now', async (t) => {
  t.is(await takeoverWay(await startCutOff(t)), 'n2');
});

test('a node that does not answer is not chosen again', async (t) => {
  const setup = await startCutOff(t);
  setup.answer = () => undefined;
  t.is(await takeoverWay(setup), 'no-path');
  const way = await setup.hops.open(BACKEND, SERVICE, NONE, true);
  t.is(typeof way === 'string' ? way : way.relay, 'no-path');
});

test('a node answers for one backend by whether that backend answers now', async (t) => {
  const fleet = new PathFleet({ nodes: 3, engines: 2, busy: 3, seed: 1 });
  await fleet.run(SETTLED_MS);
  const [node] = fleet.nodes;
  const ask = async (): Promise<boolean | undefined> => {
    const reply = node?.access.answerReaches({ service: ENGINES, backend: 'engine-0' });
    await fleet.run(1000);
    return (await reply)?.reaches;
  };
  t.true(await ask());
  fleet.silenceEngines(SILENCE_MS);
  t.false(await ask());
  fleet.stop();
});
