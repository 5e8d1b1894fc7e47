/**
 * Guards against giving up an attempt whose response has arrived. A request that may be repeated was sent to another
 * backend although the first one had answered it in time: after the process was held up, the event loop runs the
 * timers that are due before it reads what has arrived, and the timer for a silent backend counted the response as
 * missing. Each such retry costs the retry budget of the service and runs the request twice.
 *
 * The backend of this test is a worker thread, so that it answers while the main thread, with the gateway, is held up.
 */
import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import { Harness, SERVICE } from './harness.js';
import { HeldUpLoop } from './held-up-loop.js';
import { success } from './raw-backend.js';

const OBJECTIVE_MS = 125;
/** More than twice the objective, after which an attempt is given up as silent. */
const HELD_UP_MS = 600;

const LISTENING = 1;
const ASKED = 2;
const ANSWERED = 3;

/** Answers the first request while the test is held up, and reports its port by a message. */
const BACKEND = `
createServer((socket) => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    report(${ASKED});
    waitUntilHeldUp();
    socket.write(workerData.data.response, () => report(${ANSWERED}));
  });
}).listen(0, '127.0.0.1', function () { parentPort.postMessage(this.address().port); report(${LISTENING}); });
`;

test.serial('a request whose response lies unread is not sent to another backend', async (t) => {
  const harness = await Harness.start({ kind: 'idempotent', attempts: 2, objectiveMs: OBJECTIVE_MS }, [
    (socket, attemptId) => socket.write(success(attemptId, 'second')),
  ]);
  t.teardown(() => harness.stop());
  const loop = new HeldUpLoop(t, BACKEND, { response: success('a1', 'first') });
  const port = await new Promise<number>((resolve) => loop.worker.once('message', resolve));
  const [second] = harness.backends;
  if (second === undefined) throw new Error('no backend');
  // Only the worker's backend is there until it has got the request.
  harness.fleet.applyBackend(2, { ...second.description('i1', SERVICE), state: 'draining' });
  harness.fleet.applyBackend(3, {
    ...second.description('i2', SERVICE),
    address: socketAddress(`127.0.0.1:${port}`),
  });
  const response = harness.call('a1');
  await loop.reached(ASKED);
  harness.fleet.applyBackend(4, second.description('i1', SERVICE));
  await loop.holdUpUntil(ANSWERED, HELD_UP_MS);
  const { status, body } = await response;
  t.is(status, 200);
  t.is(second.requestHeads.length, 0, 'sent to another backend');
  t.is(body, 'first');
});
