/**
 * Guards against sending a request to a backend although the report by which it is quarantined has arrived at the
 * node. After the process was held up, a request is read before the reports that came after it and lie unread on other
 * connections. One on a connection that is new needs more turns of the event loop than the request: the connection is
 * accepted in one and read in another. The request must not be written before that.
 *
 * The client and the other node of these tests are a worker thread, so that they go on while the main thread, with the
 * gateway, is held up.
 */
import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { Harness, HOST } from './harness.js';
import { HeldUpLoop } from './held-up-loop.js';
import { success } from './raw-backend.js';

const CONNECTED = 1;
const SENT = 2;

/** Sends a request, and after it the report, when the test is held up. */
const PEERS = `
const { port, reportPort, request, isKept } = workerData.data;
const open = () => connect(reportPort, '127.0.0.1').on('error', () => undefined);
const client = connect(port, '127.0.0.1').on('error', () => undefined);
client.once('connect', () => {
  const node = open();
  node.once('connect', () => report(${CONNECTED}));
  parentPort.once('message', () => {
    waitUntilHeldUp();
    client.write(request, () => (isKept ? node : open()).write('quarantined', () => report(${SENT})));
  });
});
client.once('data', (data) => parentPort.postMessage(data.toString()));
`;

const REQUEST = [
  'POST /x/ HTTP/1.1',
  `host: ${HOST}`,
  'attempt-id: a2',
  'content-length: 8',
  '',
  'question',
].join('\r\n');

for (const [name, isKept] of [
  ['an open', true],
  ['a new', false],
] as const) {
  test.serial(
    `a request is not sent while the report by which it is quarantined lies unread on ${name} connection`,
    async (t) => {
      const harness = await Harness.start({ kind: 'idempotent' }, [
        (socket, attemptId) => socket.write(success(attemptId, 'answer')),
      ]);
      t.teardown(() => harness.stop());
      let isQuarantined = false;
      harness.isQuarantined = () => isQuarantined;
      const reports = createServer((socket) => socket.once('data', () => (isQuarantined = true)));
      await new Promise<void>((resolve) => reports.listen(0, '127.0.0.1', resolve));
      t.teardown(() => reports.close());
      // Leaves an open connection to the backend.
      t.is((await harness.call('a1')).status, 200);
      const { port: reportPort } = reports.address() as AddressInfo;
      const loop = new HeldUpLoop(t, PEERS, { port: harness.port, reportPort, request: REQUEST, isKept });
      await loop.reached(CONNECTED);
      const response = new Promise<string>((resolve) => loop.worker.once('message', resolve));
      loop.worker.postMessage('send');
      await loop.holdUpUntil(SENT);
      t.regex(await response, /^HTTP\/1\.1 503 /);
      t.is(harness.sends, 1, 'sent to a backend');
    },
  );
}
