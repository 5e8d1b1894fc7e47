/**
 * Guards against requests that end although their backend is sound and only sends nothing for a while: the attempt was
 * given up before another backend was found, and when none was free, the client's connection was closed within the
 * answer, or the request was answered with an unknown outcome.
 */
import test from 'ava';
import { Harness, configuration, tenant, type RouteOverrides } from './harness.js';
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

/** Continues a stream after its first event. */
const continues: RawResponder = (socket, id, head) => {
  const isContinuation = /last-event-id: 1/i.test(head);
  socket.write(`${streamHead(id)}${isContinuation ? '' : chunk(event(1))}${chunk(event(2))}0\r\n\r\n`);
};
const answers: RawResponder = (socket, id) => {
  socket.write(success(id, 'answer'));
};

/** A responder for each of two backends: the one that gets the first request runs `first`, later requests get `next`. */
function firstThen(first: RawResponder, next: RawResponder): RawResponder[] {
  let isFirst = true;
  const responder: RawResponder = (...parameters) => {
    const respond = isFirst ? first : next;
    isFirst = false;
    respond(...parameters);
  };
  return [responder, responder];
}

const sendsOneEvent: RawResponder = (socket, id) => socket.write(streamHead(id) + chunk(event(1)));
const sendsNothing: RawResponder = () => undefined;

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

test('a stream goes on at its backend after a silence of all backends', async (t) => {
  const harness = await Harness.start(STREAM, firstThen(streamsAfterSilence, continues));
  t.teardown(() => harness.stop());
  for (const backend of harness.backends) backend.answersProbes = false;
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
  t.is(harness.sends, 1);
});

test('a stream goes on at its backend after a silence if its tenant has no quota left for a retry', async (t) => {
  const harness = await Harness.start(undefined, firstThen(streamsAfterSilence, continues));
  t.teardown(() => harness.stop());
  const quota = { unit: 'requests', ratePerSecond: 1, burst: 1, plainTokens: 1 } as const;
  harness.fleet.applyConfiguration(configuration(STREAM, [tenant('t', ['k'], { quota })]));
  let charges = 0;
  harness.admit = () => {
    charges += 1;
    return Promise.resolve(charges === 1 ? { kind: 'admitted' } : { kind: 'refused', retryAfterMs: 1000 });
  };
  const { body, whole } = await harness.call('a1', '/x/', 'question', { key: 'k' });
  t.is(body, WHOLE);
  t.true(whole);
  t.is(harness.sends, 1);
});

test('a stream goes on at its backend after a silence if it is quarantined meanwhile', async (t) => {
  let isSent = false;
  const sendsEvent: RawResponder = (...parameters) => {
    isSent = true;
    streamsAfterSilence(...parameters);
  };
  const harness = await Harness.start(STREAM, firstThen(sendsEvent, continues));
  t.teardown(() => harness.stop());
  harness.isQuarantined = () => isSent;
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
  t.is(harness.sends, 1);
});

test('a stream whose connection stays silent for good goes on at another backend', async (t) => {
  const harness = await Harness.start(STREAM, firstThen(sendsOneEvent, continues));
  t.teardown(() => harness.stop());
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
  t.is(harness.sends, 2);
});

test('a repeatable request whose connection stays silent for good is answered by another backend', async (t) => {
  const harness = await Harness.start(IDEMPOTENT, firstThen(sendsNothing, answers));
  t.teardown(() => harness.stop());
  const { status, body } = await harness.call('a1');
  t.is(status, 200);
  t.is(body, 'answer');
  t.is(harness.sends, 2);
});

test('a stream whose connection stays silent for good goes on at another backend once that answers', async (t) => {
  const harness = await Harness.start(STREAM, firstThen(sendsOneEvent, continues));
  t.teardown(() => harness.stop());
  for (const backend of harness.backends) backend.answersProbes = false;
  const response = harness.call('a1');
  setTimeout(() => {
    for (const backend of harness.backends) backend.answersProbes = true;
  }, SILENCE_MS);
  const { body, whole } = await response;
  t.is(body, WHOLE);
  t.true(whole);
  t.is(harness.sends, 2);
});
