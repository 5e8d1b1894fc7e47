/**
 * Guards against requests that are sent on after their clients have left, because the node has not read that
 * yet. In operation, runners ran requests more than a second after their clients had left, on nodes with little
 * processor time.
 *
 * While a process has no processor time, requests and the ends of their connections wait in the queues of the
 * operating system. A node read the request, wrote it to a kept connection in the same turn of its event loop,
 * and read the end of the client's connection one turn later. In the tests the event loop is held up while a
 * client in another thread sends its request and leaves.
 */
import test, { type ExecutionContext } from 'ava';
import { RELAY_HEADER } from '../src/relay/relay-protocol.js';
import { DepartingClient, type ClientOrder } from './departing-client.js';
import { HOST, Harness, callNode } from './harness.js';
import { success, type RawBackend, type RawResponder } from './raw-backend.js';
import { startRelay } from './running-relay.js';

const OK = 200;
const DEPARTED_ID = 'departed-1';
const BODY = 'question';

const answers: RawResponder = (socket, id) => socket.write(success(id, 'answer'));

function requestText(method: 'GET' | 'POST', headers: Readonly<Record<string, string>> = {}): string {
  const body = method === 'POST' ? BODY : '';
  const fields = { host: HOST, 'attempt-id': DEPARTED_ID, 'content-length': `${body.length}`, ...headers };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} /x/ HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

function startClient(t: ExecutionContext, port: number): DepartingClient {
  const client = new DepartingClient(port);
  t.teardown(() => client.stop());
  return client;
}

function countArrivals({ requestHeads }: RawBackend, attemptId: string): number {
  return requestHeads.filter((head) => head.includes(`attempt-id: ${attemptId}`)).length;
}

/** Asserts that the request of the departed client did not reach the backend, after all that was sent has. */
async function assertNotSent(
  t: ExecutionContext,
  backend: RawBackend | undefined,
  call: (attemptId: string) => Promise<{ readonly status: number }>,
): Promise<void> {
  if (backend === undefined) throw new Error('no backend');
  for (const attemptId of ['after-1', 'after-2']) t.is((await call(attemptId)).status, OK);
  t.is(countArrivals(backend, DEPARTED_ID), 0, 'the backend got a request whose client had left before');
}

for (const ends of ['close', 'reset'] as const) {
  for (const method of ['POST', 'GET'] as const) {
    for (const isKept of [true, false]) {
      const how = `${method}, ${ends} of a ${isKept ? 'kept' : 'new'} connection`;

      test(`a request is not sent if its client has left, read or not: ${how}`, async (t) => {
        const harness = await Harness.start({}, [answers]);
        t.teardown(() => harness.stop());
        const client = startClient(t, harness.port);
        // Leaves a kept connection to the backend.
        t.is((await harness.call('before')).status, OK);
        if (isKept) await keepConnection(client, () => harness.call('other'));
        client.actDuringStall({ text: requestText(method), ends });
        await assertNotSent(t, harness.backends[0], (id) => harness.call(id));
      });
    }
  }

  test(`a request of another node is not relayed if that has given it up, read or not: ${ends}`, async (t) => {
    const relay = await startRelay(t, answers);
    const headers = { [RELAY_HEADER.backend]: 'i1' };
    const call = (attemptId: string): Promise<{ readonly status: number }> =>
      callNode(relay.port, attemptId, { headers });
    t.is((await call('before')).status, OK);
    startClient(t, relay.port).actDuringStall({ text: requestText('POST', headers), ends });
    await assertNotSent(t, relay.backend, call);
  });
}

/** Opens the client's connection, and has the node accept it. */
async function keepConnection(client: DepartingClient, call: () => Promise<unknown>): Promise<void> {
  const opens: ClientOrder = { text: undefined, ends: undefined };
  client.actDuringStall(opens);
  // Connections are accepted in the order in which they were opened.
  await call();
}
