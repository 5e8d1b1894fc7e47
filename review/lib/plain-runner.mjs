/**
 * A runner of a plain service, as a process of its own. It tells its driver over the process channel what it runs.
 * Arguments: id, service, IP, zone, bytes of an answer, milliseconds over which it sends them, pieces in which it does. A
 * message `{ kind: 'slow', times }` makes it work that many times as long from then on.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const [id, service, ip, zone, bytes, spanMs, pieces = 12] = process.argv.slice(2);
const SLOTS = 6;
/** Requests that wait for a slot, at most. */
const QUEUE = 24;

/** Whole body of an answer: one line again and again, which tells the attempt and the runner. */
function bodyOf(attempt) {
  return Buffer.alloc(Number(bytes), `${attempt} ${id}\n`);
}

let running = 0;
const waiting = [];
let slowedTimes = 1;
const server = createServer((request, response) => {
  request.resume();
  request.on('end', () => void serve(request, response));
});

async function serve(request, response) {
  const attempt = request.headers['attempt-id'];
  if (request.url === '/health') {
    response.writeHead(200, { 'instance-id': id, 'content-length': 0 }).end();
    return;
  }
  if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== id) {
    response.writeHead(421, { 'instance-id': id, 'content-length': 0 }).end();
    return;
  }
  if (attempt === undefined || waiting.length >= QUEUE) {
    const status = attempt === undefined ? 400 : 503;
    const echo = attempt === undefined ? {} : { 'attempt-id': attempt };
    response.writeHead(status, { 'not-executed': '1', ...echo, 'content-length': 0 }).end();
    return;
  }
  if (running >= SLOTS) await new Promise((resolve) => waiting.push(resolve));
  else running += 1;
  if (response.destroyed) {
    endRun();
    return;
  }
  process.send({ kind: 'run', attempt, id, method: request.method, path: request.url });
  const body = bodyOf(attempt);
  response.writeHead(200, {
    'attempt-id': attempt,
    'response-stamp': `${id}.${attempt}`,
    'content-type': 'text/plain',
    'content-length': body.length,
  });
  const size = Math.ceil(body.length / Number(pieces));
  for (let at = 0; at < body.length && !response.destroyed; at += size) {
    response.write(body.subarray(at, at + size));
    await sleep((Number(spanMs) / Number(pieces)) * slowedTimes);
  }
  response.end();
  endRun();
}

/** Gives the slot to the request that waits longest. */
function endRun() {
  const next = waiting.shift();
  if (next === undefined) running -= 1;
  else next();
}

process.on('message', ({ times }) => {
  slowedTimes = times;
});
server.keepAliveTimeout = 10_000;
server.listen(0, ip, () => {
  const address = `${ip}:${server.address().port}`;
  const entry = {
    service,
    address,
    zone,
    version: 'v1',
    slots: SLOTS,
    state: 'ready',
    coldLeftMs: 0,
    callSeq: 0,
  };
  process.send({ kind: 'entry', id, entry });
});
process.on('disconnect', () => process.exit(0));
