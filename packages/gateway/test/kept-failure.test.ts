/**
 * Guards against an answer of a backend that is lost while its request waits for a retry: when no other backend was
 * free, the quarantine or the timeout forbade the retry, the client got a 502 or 504 of the gateway in place of the
 * backend's own 500.
 */
import test, { type ExecutionContext } from 'ava';
import { Harness, type RouteOverrides } from './harness.js';
import type { RawResponder } from './raw-backend.js';

const ROUTE: RouteOverrides = { kind: 'idempotent', attempts: 3, timeoutMs: 20_000 };

const fails: RawResponder = (socket, id) =>
  socket.write(
    `HTTP/1.1 500 Failed\r\nattempt-id: ${id}\r\nresponse-stamp: s1\r\ncontent-length: 5\r\n\r\nfault`,
  );
const refuses: RawResponder = (socket, id) =>
  socket.write(`HTTP/1.1 503 Busy\r\nattempt-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`);
const breaksOff: RawResponder = (socket) => socket.resetAndDestroy();

async function assertForwarded(t: ExecutionContext, harness: Harness): Promise<void> {
  const { status, body, headers } = await harness.call('a1');
  t.is(status, 500);
  t.is(body, 'fault');
  t.is(headers['response-stamp'], 's1');
}

test("a backend's error response is forwarded if no other backend is there for a retry", async (t) => {
  const harness = await Harness.start(ROUTE, [fails]);
  t.teardown(() => harness.stop());
  await assertForwarded(t, harness);
});

test("a backend's error response is forwarded if the other backend refuses the retry", async (t) => {
  const harness = await Harness.start(ROUTE, [fails, refuses]);
  t.teardown(() => harness.stop());
  await assertForwarded(t, harness);
});

test("a backend's error response is forwarded if the retry breaks off", async (t) => {
  let isFirst = true;
  const responder: RawResponder = (...parameters) => {
    (isFirst ? fails : breaksOff)(...parameters);
    isFirst = false;
  };
  const harness = await Harness.start(ROUTE, [responder, responder]);
  t.teardown(() => harness.stop());
  await assertForwarded(t, harness);
});

test("a backend's error response is forwarded if the request is quarantined meanwhile", async (t) => {
  let isFailed = false;
  const responder: RawResponder = (...parameters) => {
    isFailed = true;
    fails(...parameters);
  };
  const harness = await Harness.start(ROUTE, [responder, responder]);
  t.teardown(() => harness.stop());
  harness.isQuarantined = () => isFailed;
  await assertForwarded(t, harness);
});

test("a backend's error response is forwarded at the timeout of a request that waits for its retry", async (t) => {
  let isFailed = false;
  const responder: RawResponder = (...parameters) => {
    isFailed = true;
    fails(...parameters);
  };
  const harness = await Harness.start({ ...ROUTE, timeoutMs: 1500 }, [responder, responder]);
  t.teardown(() => harness.stop());
  // The refresh of the backend list before the retry does not end.
  harness.beforeSend = () => (isFailed ? new Promise(() => undefined) : Promise.resolve());
  await assertForwarded(t, harness);
});
