/**
 * Guards against taking a request for new when it is read although its connection waited to be accepted. The event loop
 * accepts one connection an iteration; with work in each iteration new connections wait for seconds although no timer is
 * late, and backends are told of time that clients do not have.
 */
import test from 'ava';
import { UnreadRequests } from './unread-requests.js';

/** New connections that wait at the same time. */
const CONNECTIONS = 150;
/** Work for each request, or in each iteration of the event loop. */
const WORK_MS = 20;

/** Fails with the number of requests that were passed on with too much time, and the last of them. */
function describe(found: readonly string[]): string {
  return `${found.length} of ${CONNECTIONS}, the last one ${found.at(-1) ?? 'none'}`;
}

test('requests whose connections waited behind the work for others are passed on with the time that their clients have left', async (t) => {
  const requests = await UnreadRequests.start(t);
  requests.onWrite = () => requests.clock.advance(WORK_MS);
  await requests.send(t, CONNECTIONS);
  await requests.whenEnded();
  t.is(requests.toldTooMuch.length, 0, describe(requests.toldTooMuch));
});

test('requests whose connections waited while the event loop had other work are passed on with the time that their clients have left', async (t) => {
  const requests = await UnreadRequests.start(t);
  await requests.send(t, CONNECTIONS);
  let isOver = false;
  const work = (): void => {
    requests.clock.advance(WORK_MS);
    if (!isOver) setImmediate(work);
  };
  setImmediate(work);
  await requests.whenEnded();
  isOver = true;
  t.is(requests.toldTooMuch.length, 0, describe(requests.toldTooMuch));
});
