/**
 * Guards against sending a request on although a home node has answered that it is quarantined. A node whose request
 * crashed a backend waits until a home has counted that, or for a short time. After it was held up, the event loop
 * runs the timer of that wait before it reads the answer that has arrived, and the request went to a fourth backend.
 *
 * The home of this test is a worker thread, so that it answers while the main thread, with the node, is held up.
 */
import { socketAddress } from '@canvasridge/addresses';
import { Random, SystemClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { FleetQuarantine } from '../src/cluster/fleet-quarantine.js';
import { formatQuarantined } from '../src/cluster/quarantine-protocol.js';
import { PeerNetwork } from '../src/peers/peer-network.js';
import { HeldUpLoop } from './held-up-loop.js';

const FINGERPRINT = 'f1';
/** Longer than a node waits for the answer of a home. */
const HELD_UP_MS = 200;

const ANSWERED = 1;

/** Answers each JSON-RPC request; one of an interruption while the test is held up. */
const HOME = `
createServer((socket) => {
  socket.on('error', () => undefined);
  socket.setEncoding('utf8').on('data', (text) => {
    for (const line of text.split('\\n').filter((each) => each !== '')) {
      const { id, method } = JSON.parse(line);
      const isReport = method === 'quarantine.interrupted';
      if (isReport) waitUntilHeldUp();
      const result = isReport ? [workerData.data.quarantined] : null;
      socket.write(JSON.stringify({ jsonrpc: '2.0', id, result }) + '\\n', () => { if (isReport) report(${ANSWERED}); });
    }
  });
}).listen(0, '127.0.0.1', function () { parentPort.postMessage(this.address().port); });
`;

test.serial('a report of a crash waits for the answer of a home that lies unread', async (t) => {
  const loop = new HeldUpLoop(t, HOME, { quarantined: formatQuarantined(FINGERPRINT, 1) });
  const port = await new Promise<number>((resolve) => loop.worker.once('message', resolve));
  const address = socketAddress(`127.0.0.1:${port}`);
  const network = new PeerNetwork(
    {},
    () => undefined,
    () => undefined,
    () => undefined,
    new Telemetry({ processName: 'test', clock: new SystemClock() }),
  );
  t.teardown(() => network.close());
  await network.to(address).call('open', {}, 10_000);
  const clock = new SystemClock();
  const quarantine = new FleetQuarantine({
    random: new Random(1),
    clock,
    network: {
      to: () => ({
        call: (...parameters) => {
          const reply = network.to(address).call(...parameters);
          void loop.holdUpUntil(ANSWERED, HELD_UP_MS);
          return reply;
        },
      }),
    },
    cluster: {
      selfId: 'n1',
      candidates: () => ['home'],
      serving: () => [],
      peerAddress: () => address,
      processOf: () => ({ token: 'p1', state: 'alive' }),
      publishQuarantine: () => undefined,
      quarantines: () => [],
    },
    telemetry: new Telemetry({ processName: 'n1', clock }),
  });
  await quarantine.interrupted(FINGERPRINT, 'i3', 10);
  t.not(quarantine.remainingMs(FINGERPRINT), undefined, 'sent again although it is quarantined');
});
