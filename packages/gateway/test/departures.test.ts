/** Clients that disconnect before their answer, and nodes that do not have a configuration yet. */
import test from 'ava';
import { Harness } from './harness.js';
import { chunk, streamHead, success, type RawResponder } from './raw-backend.js';

interface WatchedBackend {
  readonly answer: RawResponder;
  /** The request has reached the backend. */
  readonly arrived: Promise<void>;
  /** The backend's connection was closed from the other side. */
  readonly closed: Promise<void>;
}

/** A backend that starts its response as given and then keeps working until its connection is closed. */
function workingBackend(begin: RawResponder): WatchedBackend {
  let arrive = (): void => undefined;
  let close = (): void => undefined;
  const arrived = new Promise<void>((resolve) => {
    arrive = resolve;
  });
  const closed = new Promise<void>((resolve) => {
    close = resolve;
  });
  const answer: RawResponder = (socket, attemptId, head) => {
    socket.once('close', close);
    begin(socket, attemptId, head);
    arrive();
  };
  return { answer, arrived, closed };
}

const begins: readonly (readonly [name: string, begin: RawResponder])[] = [
  ['before the first byte', () => undefined],
  [
    'within a stream',
    (socket, attemptId) => socket.write(streamHead(attemptId) + chunk('id: 1\ndata: e1\n\n')),
  ],
];

/**
 * With one attempt only the client's disconnect can end the work; with more, no other backend may be asked.
 */
const cases = begins.flatMap(([name, begin]) => [1, 3].map((attempts) => ({ name, begin, attempts })));

for (const { name, begin, attempts } of cases) {
  test(`a client that disconnects ${name} ends the work of its backend, with ${attempts} attempts allowed`, async (t) => {
    const first = workingBackend(begin);
    const second = workingBackend(begin);
    const harness = await Harness.start({ kind: 'stream', resumable: true, attempts }, [
      first.answer,
      second.answer,
    ]);
    t.teardown(() => harness.stop());
    const arrived = Promise.race([first.arrived, second.arrived]);
    await harness.callAndDisconnect('a1', arrived);
    await Promise.race([first.closed, second.closed]);
    await new Promise((resolve) => setTimeout(resolve, 50));
    t.is(harness.sends, 1);
  });
}

test('a node without a configuration answers that nothing was executed, not that there is no route', async (t) => {
  const harness = await Harness.start(undefined, [(socket, id) => socket.write(success(id, 'answer'))]);
  t.teardown(() => harness.stop());
  const seen = await harness.call('a1');
  t.is(seen.status, 503);
  t.is(harness.sends, 0);
});
