/**
 * Guards against a backend whose response ends the process, or is taken for a success that it is not: whatever its bytes,
 * the client's request ends, and the next one is served.
 */
import fc from 'fast-check';
import test, { type ExecutionContext } from 'ava';
import { Harness, type ClientResponse, type RouteOverrides } from './harness.js';
import { chunk, streamHead, success, type RawResponder } from './raw-backend.js';
import { startRelay } from './running-relay.js';
import { sendSpoiled, spoiledResponse, type SpoiledResponse } from './spoiled-responses.js';
import { relayedCall } from './relayed-call.js';

const SEED = 820_538;
const RUNS = 400;
const EVENTS = 'id: 1\ndata: e1\n\n';

const answers: RawResponder = (socket, id) => socket.write(success(id, 'answer'));
const streams: RawResponder = (socket, id) => socket.write(`${streamHead(id)}${chunk(EVENTS)}0\r\n\r\n`);

/** The first request that arrives anywhere gets the spoiled response, the others a sound one. */
function spoiledFirst(response: SpoiledResponse, sound: RawResponder): RawResponder {
  let isFirst = true;
  return (socket, id, head) => {
    if (!isFirst) {
      sound(socket, id, head);
      return;
    }
    isFirst = false;
    sendSpoiled(socket, id, response);
  };
}

async function callTwice(
  route: RouteOverrides,
  responder: RawResponder,
): Promise<readonly [ClientResponse, ClientResponse]> {
  const harness = await Harness.start(route, [responder, responder]);
  try {
    return [await harness.call('a1'), await harness.call('a2')];
  } finally {
    harness.stop();
  }
}

/** Whether the success may have come from a backend: the sound one, or the other one's valid body. */
function isOfBackend(
  { status, whole, body }: ClientResponse,
  soundBody: string,
  spoiled: SpoiledResponse,
): boolean {
  if (status >= 300 || !whole) return true;
  // A stream that broke off goes on at the sound backend.
  const isContinued = body.endsWith(EVENTS) && spoiled.mayBegin(body.slice(0, -EVENTS.length));
  return body === soundBody || isContinued || spoiled.mayBe(body);
}

async function check(
  t: ExecutionContext,
  route: RouteOverrides,
  sound: RawResponder,
  body: string,
): Promise<void> {
  await t.notThrowsAsync(
    fc.assert(
      fc.asyncProperty(spoiledResponse, async (spoiled) => {
        const [first, second] = await callTwice(route, spoiledFirst(spoiled, sound));
        const isServed = second.status === 200 && second.body === body && second.whole;
        return isServed && first.status < 600 && isOfBackend(first, body, spoiled);
      }),
      { seed: SEED, numRuns: RUNS },
    ),
  );
}

for (const kind of ['idempotent', 'at-most-once'] as const)
  test.serial(`whatever a backend sends, the request ends and the next is served (${kind})`, (t) =>
    check(t, { kind }, answers, 'answer'),
  );

for (const resumable of [true, false])
  test.serial(
    `whatever a backend sends, a stream ends and the next is served (resumable ${resumable})`,
    (t) => check(t, { kind: 'stream', resumable }, streams, EVENTS),
  );

test.serial(
  'whatever a backend sends, a node that relays it ends the request and relays the next',
  async (t) => {
    let responder: RawResponder = answers;
    const { port } = await startRelay(t, (...parameters) => responder(...parameters));
    await t.notThrowsAsync(
      fc.assert(
        fc.asyncProperty(spoiledResponse, async (spoiled) => {
          responder = spoiledFirst(spoiled, answers);
          await relayedCall(port);
          const { status, body } = await relayedCall(port);
          return status === 200 && body === 'answer';
        }),
        { seed: SEED, numRuns: RUNS },
      ),
    );
  },
);
