/**
 * Guards against streams that end although a sound backend is there for them, and against charges for runs that did not
 * happen, when a backend takes over from a silent one: see silent-backends for the takeover itself.
 */
import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import { BackendConnection } from '../src/backends/backend-connection.js';
import { BackendConnections } from '../src/backends/backend-connections.js';
import { RelayHop } from '../src/relay/relay-hop.js';
import { Harness, SERVICE, configuration, tenant, type RouteOverrides } from './harness.js';
import { RawBackend, chunk, streamHead, type RawResponder } from './raw-backend.js';

const STREAM: RouteOverrides = {
  kind: 'stream',
  resumable: true,
  attempts: 3,
  objectiveMs: 125,
  timeoutMs: 6000,
};
/** More than the limit of two objectives, also for a backend that answers other requests. */
const SILENCE_MS = 1600;

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;
const WHOLE = event(1) + event(2);

const sendsOneEvent: RawResponder = (socket, id) => socket.write(streamHead(id) + chunk(event(1)));
const continues: RawResponder = (socket, id, head) => {
  const isContinuation = /last-event-id: 1/i.test(head);
  socket.write(`${streamHead(id)}${isContinuation ? '' : chunk(event(1))}${chunk(event(2))}0\r\n\r\n`);
};
const fails: RawResponder = (socket, id) =>
  socket.write(
    `HTTP/1.1 500 Failed\r\nattempt-id: ${id}\r\nresponse-stamp: s1\r\ncontent-length: 5\r\n\r\nfault`,
  );
const refuses: RawResponder = (socket, id) =>
  socket.write(`HTTP/1.1 503 Busy\r\nattempt-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`);

/** A responder for each backend: requests are answered by these in the order of their arrival, whichever backend gets them. */
function inOrder(backends: number, ...responses: readonly RawResponder[]): RawResponder[] {
  let arrived = 0;
  const responder: RawResponder = (...parameters) => {
    const respond = responses[Math.min(arrived, responses.length - 1)];
    arrived += 1;
    respond?.(...parameters);
  };
  return new Array<RawResponder>(backends).fill(responder);
}

function setProbes(harness: Harness, isAnswered: boolean): void {
  for (const backend of harness.backends) backend.answersProbes = isAnswered;
}

// The silent backend is left out for the rest of the request although it was only silent, so nothing remains.
test('a stream goes on when the backend that takes it over refuses it', async (t) => {
  const harness = await Harness.start(STREAM, inOrder(2, sendsOneEvent, refuses, continues));
  t.teardown(() => harness.stop());
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
});

// An error response is final once the client has received a part of the stream, though attempts are left.
test('a stream goes on at a third backend when the one that takes it over fails it', async (t) => {
  const harness = await Harness.start(STREAM, inOrder(3, sendsOneEvent, fails, continues));
  t.teardown(() => harness.stop());
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
});

// The charge for the takeover is forgotten as the silent attempt ends, so the next attempt is charged again.
test('a takeover that is refused is not charged, and its charge covers the next attempt', async (t) => {
  const harness = await Harness.start(undefined, inOrder(3, sendsOneEvent, refuses, continues));
  t.teardown(() => harness.stop());
  const quota = { unit: 'requests', ratePerSecond: 1, burst: 2, plainTokens: 1 } as const;
  harness.fleet.applyConfiguration(configuration(STREAM, [tenant('t', ['k'], { quota })]));
  let charges = 0;
  harness.admit = () => {
    charges += 1;
    return Promise.resolve(charges <= 2 ? { kind: 'admitted' } : { kind: 'refused', retryAfterMs: 1000 });
  };
  const { body, whole } = await harness.call('a1', '/x/', 'question', { key: 'k' });
  t.is(body, WHOLE);
  t.true(whole);
  t.is(charges, 2);
});

// The search asks for another charge and forgets the first one, although its attempt may turn out not to have run.
test('the charge of a request that is refused after a silence is given back', async (t) => {
  const refusesAfterSilence: RawResponder = (...parameters) => {
    setTimeout(() => refuses(...parameters), SILENCE_MS);
  };
  const harness = await Harness.start(undefined, inOrder(2, refusesAfterSilence, refuses));
  t.teardown(() => harness.stop());
  const quota = { unit: 'requests', ratePerSecond: 1, burst: 1, plainTokens: 1 } as const;
  harness.fleet.applyConfiguration(configuration(STREAM, [tenant('t', ['k'], { quota })]));
  let charged = 0;
  harness.admit = () => {
    charged += 1;
    return Promise.resolve(charged === 1 ? { kind: 'admitted' } : { kind: 'refused', retryAfterMs: 1000 });
  };
  const { status } = await harness.call('a1', '/x/', 'question', { key: 'k' });
  t.is(status, 503);
  t.deepEqual(harness.refundedUnits, [1]);
});

// A search that waited for the backend list while its attempt broke gives back the charge of the next attempt.
test('both runs of a stream are charged if its attempt breaks while another backend is looked for', async (t) => {
  let breakAttempt = (): void => undefined;
  const harness = await Harness.start(
    undefined,
    inOrder(
      3,
      (socket, id) => {
        socket.write(streamHead(id) + chunk(event(1)));
        breakAttempt = () => socket.resetAndDestroy();
      },
      continues,
    ),
  );
  t.teardown(() => harness.stop());
  const quota = { unit: 'requests', ratePerSecond: 1, burst: 2, plainTokens: 1 } as const;
  harness.fleet.applyConfiguration(configuration(STREAM, [tenant('t', ['k'], { quota })]));
  let charges = 0;
  harness.admit = () => {
    charges += 1;
    return Promise.resolve({ kind: 'admitted' });
  };
  // The search and the next attempt wait for one refresh of the list, which ends when both wait.
  let refreshes = 0;
  let endRefresh = (): void => undefined;
  const refresh = new Promise<void>((resolve) => (endRefresh = resolve));
  harness.beforeSend = () => {
    refreshes += 1;
    if (refreshes === 1) return Promise.resolve();
    if (refreshes === 2) breakAttempt();
    else endRefresh();
    return refresh;
  };
  const { body } = await harness.call('a1', '/x/', 'question', { key: 'k' });
  t.is(body, WHOLE);
  t.is(charges - harness.refundedUnits.length, harness.sends);
});

// What arrives ends the search, and nothing starts it again before the next whole event.
for (const [name, bytes] of [
  ['its headers', (id: string) => streamHead(id)],
  ['a part of an event', (id: string) => streamHead(id) + chunk('id: 1\n')],
] as const)
  test(`a stream whose backend falls silent for good after ${name}, sent late, goes on at another`, async (t) => {
    const harness = await Harness.start(
      STREAM,
      inOrder(
        2,
        (socket, id) => {
          setTimeout(() => {
            socket.write(bytes(id));
            setProbes(harness, true);
          }, SILENCE_MS);
        },
        continues,
      ),
    );
    t.teardown(() => harness.stop());
    setProbes(harness, false);
    const { body, whole } = await harness.call('a1');
    t.is(body, WHOLE);
    t.true(whole);
  });

// Whether a backend answers is not looked at while the path is impaired, as when all backends are silent together: that
// the relaying node accepts a connection was enough.
test('a stream goes on at its backend after a silence of all backends that a node takes for a lost path', async (t) => {
  const connections = new BackendConnections();
  const peer = await RawBackend.start(() => undefined);
  const harness: Harness = await Harness.start(
    STREAM,
    inOrder(2, (socket, id) => {
      socket.write(streamHead(id) + chunk(event(1)));
      harness.pathState = 'lost';
      setTimeout(() => socket.write(`${chunk(event(2))}0\r\n\r\n`), SILENCE_MS);
    }),
  );
  t.teardown(() => {
    harness.stop();
    connections.close();
    peer.stop();
  });
  setProbes(harness, false);
  harness.isCutOff = false;
  harness.openRelay = (backend, excluded, onReceived) => {
    const connection = excluded.has('peer')
      ? undefined
      : connections.acquire({ id: 'peer', address: socketAddress(`127.0.0.1:${peer.port}`) }, 10, 1);
    if (connection === undefined) return Promise.resolve(undefined);
    const options = { peerId: 'peer', backendId: backend.id, onReceived, onEnded: () => undefined };
    return Promise.resolve(new RelayHop({ ...options, connection }));
  };
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
  t.deepEqual(peer.requestHeads, []);
});

// A backend that did not answer once is left out for as long as the attempt lasts. Two backends have another software
// version: they answer, so that the search goes on, and can't continue the stream.
test('a stream whose backend is silent for good goes on at one that was silent for a while', async (t) => {
  const versions = ['1', '1', '2', '2'];
  let first: number | undefined;
  const responders = versions.map((version, index): RawResponder => (...parameters) => {
    if (first !== undefined) {
      continues(...parameters);
      return;
    }
    first = index;
    sendsOneEvent(...parameters);
    const others = harness.backends.filter((_, at) => at !== index && versions[at] === version);
    for (const backend of others) backend.answersProbes = false;
    setTimeout(() => setProbes(harness, true), SILENCE_MS);
  });
  const harness: Harness = await Harness.start(STREAM, responders);
  t.teardown(() => harness.stop());
  for (const [index, backend] of harness.backends.entries()) {
    const softwareVersion = versions[index] ?? '';
    const description = { ...backend.description(`i${index + 1}`, SERVICE), softwareVersion };
    harness.fleet.applyBackend(index + 10, description);
  }
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
});

// The attempt was given up in the turn in which its data lay unread, as after a time in which the event loop was held up.
test('a stream goes on at its backend if the rest has arrived when another could take over', async (t) => {
  let sendRest = (): void => undefined;
  const harness = await Harness.start(
    STREAM,
    inOrder(
      2,
      (socket, id) => {
        socket.write(streamHead(id) + chunk(event(1)));
        sendRest = () => socket.write(`${chunk(event(2))}0\r\n\r\n`);
      },
      continues,
    ),
  );
  t.teardown(() => harness.stop());
  // Before the first attempt, and as the last wait of the search.
  harness.beforeSend = () => {
    sendRest();
    return Promise.resolve();
  };
  const { body, whole } = await harness.call('a1');
  t.is(body, WHOLE);
  t.true(whole);
  t.is(harness.sends, 1);
});

// What was charged for an attempt that still connects covered the takeover, and was given back when that was not allowed.
test('a run is charged if its connection opens after another backend was looked for', async (t) => {
  const peer = await RawBackend.start(continues);
  let open = (): void => undefined;
  class SlowConnection extends BackendConnection {
    override send(...parameters: Parameters<BackendConnection['send']>): void {
      open = () => super.send(...parameters);
    }
  }
  const timing = {
    connectTimeoutMs: 600,
    defaultKeepAliveMs: 4000,
    keepAliveMarginMs: 600,
    maxKeepAliveMs: 60_000,
  };
  const harness = await Harness.start(undefined, inOrder(2, continues));
  t.teardown(() => {
    harness.stop();
    peer.stop();
  });
  const quota = { unit: 'requests', ratePerSecond: 1, burst: 2, plainTokens: 1 } as const;
  harness.fleet.applyConfiguration(configuration(STREAM, [tenant('t', ['k'], { quota })]));
  let charges = 0;
  harness.admit = () => {
    charges += 1;
    return Promise.resolve({ kind: 'admitted' });
  };
  harness.pathState = 'lost';
  let opened = 0;
  // The takeover is not allowed once, and the slow connection opens after that.
  let isListOld = true;
  harness.isListTooOld = () => {
    const wasOld = isListOld;
    isListOld = false;
    if (wasOld) setImmediate(open);
    return wasOld;
  };
  harness.openRelay = (backend, _, onReceived) => {
    opened += 1;
    const Connection = opened === 1 ? SlowConnection : BackendConnection;
    const connection = new Connection(socketAddress(`127.0.0.1:${peer.port}`), timing, () => undefined);
    const peerId = `peer-${opened}`;
    const onEnded = (): void => connection.close();
    return Promise.resolve(new RelayHop({ connection, peerId, backendId: backend.id, onReceived, onEnded }));
  };
  const { body } = await harness.call('a1', '/x/', 'question', { key: 'k' });
  t.is(body, WHOLE);
  t.is(peer.requestHeads.length, 1);
  t.is(charges - harness.refundedUnits.length, 1);
});
