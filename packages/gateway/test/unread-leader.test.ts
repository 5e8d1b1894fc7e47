/**
 * Guards against taking a leader for silent whose messages lie unread. After the process was held up, as while it applies
 * a large configuration, the event loop runs the timers that are due before it reads what has arrived; the connection to
 * the leader was dropped, by which the leader forgets all slots that this node uses, and all requests that waited there
 * were let go.
 *
 * The leader of this test is a worker thread, so that it answers while the main thread is held up.
 */
import { socketAddress } from '@canvasridge/addresses';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import type { SlotDecision, SlotRequest } from '@canvasridge/slots';
import test from 'ava';
import { RemoteSlots, type LeaderConnection } from '../src/index.js';
import { HeldUpLoop } from './held-up-loop.js';
import { addressOf } from './peer-addresses.js';

/** More than the time after which a leader that sends nothing counts as silent. */
const HELD_UP_MS = 700;
const LISTENING = 1;
const ASKED = 2;
const ANSWERED = 3;

/** Acknowledges the first request while the test is held up, and reports its port by a message. */
const LEADER = `
createServer((socket) => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    report(${ASKED});
    waitUntilHeldUp();
    socket.write('queued', () => report(${ANSWERED}));
  });
}).listen(0, '127.0.0.1', function () { parentPort.postMessage(this.address().port); report(${LISTENING}); });
`;

const REQUEST: SlotRequest = {
  id: 'r1',
  model: 'base',
  adapter: 'a',
  priority: 0,
  tenant: undefined,
  objectiveMs: 1000,
  ageMs: 0,
  timeoutMs: 5000,
  startWithinMs: 5000,
  excluded: [],
  promptTokens: 10,
  traceId: 't1',
  promptKey: undefined,
};

/** A connection to the leader, over which each request is acknowledged as queued. */
class Connection implements LeaderConnection {
  received = 0;
  readonly #socket: Socket;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', () => (this.received += 1));
  }

  async call(): Promise<unknown> {
    this.#socket.write('acquire');
    await once(this.#socket, 'data');
    return { kind: 'queued' };
  }

  notify(): void {
    return;
  }

  onClosed(listener: () => void): () => void {
    this.#socket.once('close', listener);
    return () => this.#socket.off('close', listener);
  }
}

test.serial(
  'a leader whose answer lies unread keeps its connection and the requests that wait there',
  async (t) => {
    const loop = new HeldUpLoop(t, LEADER, {});
    const port = await new Promise<number>((resolve) => loop.worker.once('message', resolve));
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    t.teardown(() => socket.destroy());
    const connection = new Connection(socket);
    const dropped: string[] = [];
    const network = { to: () => connection, drop: (address: string) => dropped.push(address) };
    const slots = new RemoteSlots(new SystemClock(), network, () => undefined);
    const decisions: (SlotDecision | undefined)[] = [];
    const asked = slots.acquire(addressOf('leader'), 'llm', REQUEST, new AbortController().signal);
    const decided = asked.then((decision) => decisions.push(decision));
    await loop.reached(ASKED);
    await loop.holdUpUntil(ANSWERED, HELD_UP_MS);
    await new Promise((resolve) => setTimeout(resolve, 1));
    t.deepEqual(dropped, []);
    t.deepEqual(decisions, []);
    slots.onDecided({
      kind: 'granted',
      requestId: 'r1',
      backendId: 'e1',
      address: socketAddress('10.0.1.1:1'),
    });
    await decided;
    t.like(decisions[0], { kind: 'granted' });
  },
);
