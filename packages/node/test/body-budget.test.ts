/** The budget for bodies at an HTTP server. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import { handleExchange, startExchange, type Handler } from '../src/http/exchange.js';
import { MemoryBudget } from '../src/http/memory-budget.js';

const BUDGET_BYTES = 8192;
const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
const CHUNK = `1000\r\n${'x'.repeat(4096)}\r\n`;

async function startServer(
  t: ExecutionContext,
  handler: Handler,
): Promise<{ url: string; port: number; bodies: MemoryBudget }> {
  const bodies = new MemoryBudget({ limitBytes: BUDGET_BYTES });
  const unsentAnswers = new MemoryBudget({ limitBytes: Infinity });
  const server = createServer((incoming, outgoing) =>
    startExchange({ event: () => undefined }, outgoing, () =>
      handleExchange(incoming, outgoing, { bodyLimit: () => BUDGET_BYTES, bodies, unsentAnswers }, handler),
    ),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, port, bodies };
}

const echo: Handler = async ({ body }, sink) => {
  sink.start(200, {});
  sink.write(body);
  return { kind: 'completed' };
};

async function untilUsed(bodies: MemoryBudget, bytes: number): Promise<void> {
  while (bodies.usedBytes !== bytes) await new Promise((resolve) => setTimeout(resolve, 5));
}

// Unfinished bodies kept their memory, so that ordinary requests found none.
test('an unfinished body gives way to an ordinary request and is refused as not executed', async (t) => {
  const { url, port, bodies } = await startServer(t, echo);
  const stalled = connect(port, '127.0.0.1');
  stalled.write(HEAD + CHUNK);
  await untilUsed(bodies, 4096);
  const response = await request(url, { method: 'POST', body: 'y'.repeat(8000) });
  t.is(response.statusCode, 200);
  t.is(await response.body.text(), 'y'.repeat(8000));
  const refusal = await text(stalled);
  t.regex(refusal, /^HTTP\/1\.1 503 /);
  t.regex(refusal, /\r\nretry-after: 1\r\n/i);
  t.regex(refusal, /"code":"overloaded","executed":"no"/);
  await untilUsed(bodies, 0);
  t.pass();
});

// Each end of a request has to free what its body held.
test('a budget for bodies is free again after requests that failed, were refused or whose client left', async (t) => {
  let calls = 0;
  const { url, port, bodies } = await startServer(t, async () => {
    calls += 1;
    throw new Error('defect');
  });
  const failed = await request(url, { method: 'POST', body: 'y'.repeat(8000) });
  await failed.body.dump();
  t.is(failed.statusCode, 409);
  const large = await request(url, { method: 'POST', body: 'y'.repeat(BUDGET_BYTES + 1) });
  await large.body.dump();
  t.is(large.statusCode, 413);
  const left = connect(port, '127.0.0.1');
  left.write(HEAD + CHUNK);
  await untilUsed(bodies, 4096);
  left.destroy();
  await untilUsed(bodies, 0);
  t.is(calls, 1);
});
