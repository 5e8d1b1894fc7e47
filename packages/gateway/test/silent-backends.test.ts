/**
 * Guards against requests that end although their backend is sound and only sends nothing for a while: the attempt was
 * given up before another backend was found, and when none was free, the client's connection was closed within the
 * answer, or the request was answered with an unknown outcome.
 */
import test from 'ava';
import { Harness, type RouteOverrides } from './harness.js';
import { chunk, streamHead, success, type RawResponder } from './raw-backend.js';

const OBJECTIVE_MS = 125;
/** More than the limit of two objectives, also for a backend that answers other requests. */
const SILENCE_MS = 1600;
const STREAM: RouteOverrides = {
  kind: 'stream',
  resumable: true,
  attempts: 3,
  objectiveMs: OBJECTIVE_MS,
  timeoutMs: 20_000,
};
const IDEMPOTENT: RouteOverrides = { ...STREAM, kind: 'idempotent', resumable: false };

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;
const WHOLE = event(1) + event(2);

/** Sends one event, nothing for some time, and then the rest of the stream. */
const streamsAfterSilence: RawResponder = (socket, id) => {
  socket.write(streamHead(id) + chunk(event(1)));
  setTimeout(() => socket.write(`${chunk(event(2))}0\r\n\r\n`), SILENCE_MS);
};
const answersAfterSilence: RawResponder = (socket, id) => {
  setTimeout(() => socket.write(success(id, 'answer')), SILENCE_MS);
};

test('a stream goes on at its backend after a silence during which no other is free', async (t) => {
  const harness = await Harness.start(STREAM, [streamsAfterSilence]);
  t.teardown(() => harness.stop());
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
  t.is(harness.sends, 1);
});

test('a repeatable request is answered by its backend after a silence during which no other is free', async (t) => {
  const harness = await Harness.start(IDEMPOTENT, [answersAfterSilence]);
  t.teardown(() => harness.stop());
  const { status, body } = await harness.call('a1');
  t.is(status, 200);
  t.is(body, 'answer');
  t.is(harness.sends, 1);
});
