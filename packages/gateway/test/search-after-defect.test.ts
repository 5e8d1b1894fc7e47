/**
 * Guards against a search for a replacement that goes on for as long as the process runs, because it was ended only where
 * its attempt ended without a defect.
 */
import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import { BackendConnection } from '../src/backends/backend-connection.js';
import { Harness } from './harness.js';
import { chunk, RawBackend, streamHead, type RawResponder } from './raw-backend.js';

/** More than the pause of a search between two tries. */
const WAIT_MS = 1600;

const EVENT = 'id: 1\ndata: e1\n\n';
const answer: RawResponder = (socket, id) => socket.write(`${streamHead(id)}${chunk(EVENT)}0\r\n\r\n`);

/** A connection that sends nothing until `continue` is called. */
class SlowConnection extends BackendConnection {
  continue: () => void = () => undefined;

  override send(...parameters: Parameters<BackendConnection['send']>): void {
    this.continue = () => super.send(...parameters);
  }
}

const TIMING = {
  connectTimeoutMs: 600,
  defaultKeepAliveMs: 4000,
  keepAliveMarginMs: 600,
  maxKeepAliveMs: 60_000,
};

test('a search ends with its attempt if that ends by a defect', async (t) => {
  const peer = await RawBackend.start(() => undefined);
  const harness = await Harness.start(
    { kind: 'stream', resumable: true, attempts: 3, objectiveMs: 125, timeoutMs: 6000 },
    [answer, answer],
  );
  t.teardown(() => {
    harness.stop();
    peer.stop();
  });
  harness.pathState = 'lost';
  let connection: SlowConnection | undefined;
  harness.openRelay = () => {
    if (connection !== undefined) {
      setImmediate(() => connection?.continue());
      return Promise.resolve(undefined);
    }
    connection = new SlowConnection(socketAddress(`127.0.0.1:${peer.port}`), TIMING, () => undefined);
    return Promise.resolve({
      connection,
      relay: 'peer',
      get headers(): readonly string[] {
        throw new Error('defect');
      },
      unreachable: 'no-relay',
      lostCause: 'relay-lost',
      failureOf: () => undefined,
      received: () => undefined,
      release: () => connection?.close(),
    });
  };
  const { body } = await harness.call('a1');
  t.is(body, EVENT);
  t.true(harness.lines.some((line) => line.includes('event=request.defect')));
  await new Promise((resolve) => setTimeout(resolve, WAIT_MS));
  const finished = harness.lines.findIndex((line) => line.includes('event=request.finished'));
  t.deepEqual(harness.lines.slice(finished + 1), []);
});
