/**
 * Guards against backends that get more time than a request has left, and so work on after its client has given up.
 *
 * The time of a request counted from the turn of the event loop in which its headers were read. One that had lain
 * unread while the process was held up was passed on with its whole deadline. The deadline for the backend was also
 * computed before the connection was opened, and sent as it was when the process was held up in between. One test at a
 * time, as each holds up the others too.
 */
import test from 'ava';
import { Harness, HOST } from './harness.js';
import { HeldUpLoop, holdUp } from './held-up-loop.js';
import { success, type RawResponder } from './raw-backend.js';
import { startNode } from './running-node.js';

const DEADLINE_MS = 3000;
const HELD_UP_MS = 1200;
/** By how much the deadline of a backend may exceed that of the client. */
const TOLERANCE_MS = 500;
const MAX_TOLD_MS = DEADLINE_MS - HELD_UP_MS + TOLERANCE_MS;

const CONNECTED = 1;
const SENT = 2;

/** Opens a connection, and sends the request on it, or on a new one, when the test is held up. */
const CLIENT = `
const { port, request, isKept } = workerData.data;
const open = () => connect(port, '127.0.0.1').on('error', () => undefined);
const send = (socket) => { waitUntilHeldUp(); socket.write(request, () => report(${SENT})); };
const first = open();
first.once('connect', () => report(${CONNECTED}));
parentPort.once('message', () => send(isKept ? first : open()));
`;

const REQUEST = [
  'POST /x/ HTTP/1.1',
  `host: ${HOST}`,
  'attempt-id: a1',
  `deadline: ${DEADLINE_MS}`,
  'content-length: 8',
  '',
  'question',
].join('\r\n');

/** The deadline that a backend was told, as the dialect of these tests names it. */
function toldMs(head: string): number {
  return Number(/^left: (\d+)/im.exec(head)?.[1]);
}

for (const [name, isKept] of [
  ['an open', true],
  ['a new', false],
] as const) {
  test.serial(
    `a backend is told the time that is left of a request that lay unread on ${name} connection`,
    async (t) => {
      let onArrival: (head: string) => void = () => undefined;
      const arrived = new Promise<string>((resolve) => (onArrival = resolve));
      const answer: RawResponder = (socket, attemptId, head) => {
        socket.write(success(attemptId, 'answer'), () => onArrival(head));
      };
      const { node, port } = await startNode(t, { graceMs: 200 }, answer);
      t.teardown(() => node.stop());
      const loop = new HeldUpLoop(t, CLIENT, { port, request: REQUEST, isKept });
      await loop.reached(CONNECTED);
      loop.worker.postMessage('send');
      await loop.holdUpUntil(SENT, HELD_UP_MS);
      const told = toldMs(await arrived);
      t.true(told > 0 && told <= MAX_TOLD_MS, `told ${told} ms of ${DEADLINE_MS}, at most ${MAX_TOLD_MS}`);
    },
  );
}

test.serial(
  'a backend is told the time that is left when the process is held up while it connects',
  async (t) => {
    const harness = await Harness.start({ kind: 'idempotent' }, [
      (socket, attemptId) => socket.write(success(attemptId, 'answer')),
    ]);
    t.teardown(() => harness.stop());
    let isFirst = true;
    harness.beforeSend = () => {
      // Runs after the connection has been requested, and before the event loop sees that it is open.
      if (isFirst) setImmediate(() => holdUp(HELD_UP_MS));
      isFirst = false;
      return Promise.resolve();
    };
    const { status } = await harness.call('a1', '/x/', 'question', { deadline: String(DEADLINE_MS) });
    t.is(status, 200);
    const told = toldMs(harness.backends[0]?.requestHeads[0] ?? '');
    t.true(told > 0 && told <= MAX_TOLD_MS, `told ${told} ms of ${DEADLINE_MS}, at most ${MAX_TOLD_MS}`);
  },
);
