/**
 * Guards against requests that are sent to a backend whose leaving has already arrived at the node, but is not
 * read yet. A node that gets no CPU time, or works on other connections, finds requests and news in its
 * sockets at the same time when it continues. It reads a request and writes it to a kept connection in the same
 * turn of the event loop, so that it decides without the news that lies in the next socket, however long that
 * has been there.
 *
 * The clients, the backend and a reader of the store run in another thread. The event loop of the node is
 * blocked until both the request and the news are in its sockets.
 */
import { socketAddress } from '@canvasridge/addresses';
import { SystemClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test, { type ExecutionContext } from 'ava';
import { StateFollower } from '../src/index.js';
import { PeerNetwork } from '../src/peers/peer-network.js';
import { followerOptions } from './follower-options.js';
import { Harness } from './harness.js';
import { READER_ID, type Arrival } from './unread-input-messages.js';
import { Outside } from './unread-input.js';

const SERVICE_UNAVAILABLE = 503;
const DRAIN_MS = 3000;
/** Enough nodes that a few read the store for the others. */
const NODES = 40;

interface HeldUpNode {
  readonly outside: Outside;
  readonly follower: StateFollower;
}

/** Starts a node in this thread; the only backend, its clients and the reader that it follows are in another. */
async function startNode(t: ExecutionContext): Promise<HeldUpNode> {
  const outside = await Outside.start(t);
  const harness = await Harness.start({}, []);
  t.teardown(() => harness.stop());
  harness.fleet.applyBackend(1, outside.backend);
  const network = new PeerNetwork(
    {},
    () => undefined,
    () => undefined,
    () => undefined,
    new Telemetry({ processName: 'test', clock: new SystemClock() }),
  );
  t.teardown(() => network.close());
  const ids = Array.from({ length: NODES }, (_, index) => `node-${index}`);
  const follower = new StateFollower({
    ...followerOptions({
      clock: new SystemClock(),
      fleet: harness.fleet,
      ids,
      selfId: ids.at(-1) ?? '',
      drainMs: DRAIN_MS,
      answer: () => undefined,
    }),
    ranked: () => [READER_ID],
    network,
    peerAddress: () => socketAddress(outside.readerAddress),
  });
  await outside.openConnections(harness.port);
  return { outside, follower };
}

/** Lets a follower ask its reader, whose answer the reader holds back until it is told to send it. */
async function askReader({ follower, outside }: HeldUpNode): Promise<void> {
  void follower.refreshIfOld();
  await outside.readerAsked();
}

interface UnreadCase {
  readonly name: string;
  readonly arrivals: readonly Arrival[];
}

const CASES: readonly UnreadCase[] = [
  { name: 'a notice in the response to another request, after the request', arrivals: ['request', 'notice'] },
  {
    name: 'a notice in the response to another request, before the request',
    arrivals: ['notice', 'request'],
  },
  {
    name: 'a notice in the response to another request, after a request on a new connection',
    arrivals: ['request-on-new-connection', 'notice'],
  },
  { name: 'a newer list of a reader, after the request', arrivals: ['request', 'list'] },
  { name: 'a newer list of a reader, before the request', arrivals: ['list', 'request'] },
  {
    name: 'a newer list of a reader, after a request on a new connection',
    arrivals: ['request-on-new-connection', 'list'],
  },
];

for (const { name, arrivals } of CASES) {
  test(`a request is not sent to a backend whose leaving has arrived and is unread: ${name}`, async (t) => {
    const node = await startNode(t);
    if (arrivals.includes('list')) await askReader(node);
    node.outside.arriveUnread(arrivals);
    t.deepEqual(
      await node.outside.outcome(),
      { status: SERVICE_UNAVAILABLE, hasArrived: false },
      'callers see an answer of a backend that had left: the request was written before the news was read',
    );
  });
}
