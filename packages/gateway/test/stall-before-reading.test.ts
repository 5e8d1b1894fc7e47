/**
 * Guards against taking a request for new when it is read although it lay unread while the process got no CPU time: it is
 * then run after its time is over, and its backend is told of time that its client does not have.
 */
import test from 'ava';
import { DEADLINE_MS, UnreadRequests } from './unread-requests.js';

/** The process stands still for this long. */
const STALL_MS = 3000;

test('a request that is read at once is passed on with the time that its client has', async (t) => {
  const requests = await UnreadRequests.start(t);
  await requests.send(t, 1);
  await requests.whenEnded();
  const toldMs = requests.toldMs('r0');
  t.true(toldMs > DEADLINE_MS / 2, `${toldMs} of ${DEADLINE_MS} ms`);
});

test('a request that lay unread while the process stood still is passed on with the time that its client has left', async (t) => {
  const requests = await UnreadRequests.start(t);
  await requests.send(t, 1);
  requests.clock.advance(STALL_MS);
  await requests.whenEnded();
  t.deepEqual(requests.toldTooMuch, []);
});

test('a request whose time may have been over before it was read is passed on with the time that a backend may work unwanted', async (t) => {
  const requests = await UnreadRequests.start(t);
  await requests.send(t, 1);
  requests.clock.advance(DEADLINE_MS + STALL_MS);
  await requests.whenEnded();
  t.deepEqual(requests.toldTooMuch, []);
});
