/**
 * A model runner, as a process of its own: reports, orders for adapters, streams. It tells its driver over the process
 * channel what it runs. Arguments: a JSON object, see `options`.
 */
import { createServer } from 'node:http';
import { setTimeout as startTimer } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * `spoiltShare`: share of its answers that it sends twice, the second one late, in the slot where the next answer is
 * expected. Of the answers that it may spoil, it spoils those with status 421 first.
 */
const options = { adapterSlots: 6, firstMs: 80, eventMs: 20, spoiltShare: 0, ...JSON.parse(process.argv[2]) };
const { id, service, ip, zone, model } = options;

/** Newest versions of adapters in the weight store, 1 where none is told. */
const newest = new Map();
/** By adapter: `pending` or `loaded`, its version, and the requests that use it. */
const adapters = new Map();
const loadedBefore = new Set();
let callSeq = 0;
let answers = 0;
let spoilt = 0;
let isSpoiling = false;
let slowedTimes = 1;

const server = createServer((request, response) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => void serve(request, response, chunks.join('')));
});

function answer(response, status, headers, body = '') {
  response.writeHead(status, { ...headers, 'content-length': body.length });
  response.end(body);
}

async function serve(request, response, body) {
  if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== id) {
    answer(response, 421, { 'instance-id': id });
  } else if (request.url === '/report') {
    const isLoaded = ([, { state }]) => state === 'loaded';
    const names = [...adapters].filter(isLoaded).map(([name, { version }]) => `${name}@${version}`);
    const pending = [...adapters]
      .filter((entry) => !isLoaded(entry))
      .map(([name, { version }]) => `${model}/${name}@${version}`);
    const models = [{ name: model, version: 1, adapters: names }];
    const report = { stage: 'mixed', models, busy: false, callSeq, pending, queueDepth: 0, inFlight: 0 };
    answer(response, 200, { 'content-type': 'application/json' }, JSON.stringify(report));
  } else if (request.url === '/order') order(JSON.parse(body), response);
  else if (request.url === '/health') answer(response, 200, { 'instance-id': id });
  else await run(request, response);
}

function order({ opcode, adapter, expectedRev, holder, fencingToken }, response) {
  process.send({ kind: 'order', id, opcode, adapter, holder, fencingToken });
  const held = adapters.get(adapter);
  if (expectedRev !== undefined && expectedRev !== callSeq) answer(response, 409, {});
  else if (opcode === 'load' && held !== undefined) answer(response, held.state === 'loaded' ? 200 : 409, {});
  else if (opcode === 'load') {
    callSeq += 1;
    adapters.set(adapter, { state: 'pending', version: newest.get(adapter) ?? 1, users: 0 });
    if (adapters.size > options.adapterSlots) process.send({ kind: 'limit', id, adapters: adapters.size });
    const coldMs = options.adapterMs[0] + Math.random() * (options.adapterMs[1] - options.adapterMs[0]);
    startTimer(
      () => {
        if (adapters.has(adapter)) adapters.get(adapter).state = 'loaded';
      },
      loadedBefore.has(adapter) ? coldMs / 10 : coldMs,
    );
    loadedBefore.add(adapter);
    answer(response, 202, {});
  } else if (held === undefined) answer(response, 200, {});
  else if (held.users > 0 || held.state === 'pending') answer(response, 409, {});
  else {
    callSeq += 1;
    adapters.delete(adapter);
    answer(response, 200, {});
  }
}

/** Sends the answer that lies in the socket's slot of an earlier request, late. */
function sendExtra(socket) {
  if (socket.extra === undefined) return;
  process.send({ kind: 'extra', id, of: socket.extra.attempt });
  socket.write(socket.extra.text);
  socket.extra = undefined;
}

async function run(request, response) {
  const { socket } = request;
  const attempt = request.headers['attempt-id'];
  const adapter = (request.headers['model'] ?? '').split('/')[1];
  sendExtra(socket);
  answers += 1;
  const held = adapters.get(adapter);
  if (attempt === undefined) {
    answer(response, 400, { 'not-executed': '1' });
    return;
  }
  if (held?.state !== 'loaded') {
    process.send({ kind: 'not-run', id, attempt });
    if (isSpoiling && spoilt + 1 <= options.spoiltShare * answers) {
      spoilt += 1;
      const head = [
        'HTTP/1.1 421 Misdirected Request',
        `Instance-Id: ${id}`,
        `Attempt-Id: ${attempt}`,
        'Not-Executed: 1',
        'Content-Length: 0',
      ];
      socket.extra = { attempt, text: `${head.join('\r\n')}\r\n\r\n` };
    }
    answer(response, 421, { 'instance-id': id, 'attempt-id': attempt, 'not-executed': '1' });
    return;
  }
  held.users += 1;
  process.send({ kind: 'run', id, attempt, version: held.version });
  // The client names the most tokens out; an event holds two.
  const tokensOut = Number(request.headers['token-count']?.split(',')[1]);
  const events = tokensOut > 0 ? Math.ceil(tokensOut / 2) : options.events;
  const gone = new Promise((resolve) => response.once('close', resolve));
  await Promise.race([sleep(options.firstMs * slowedTimes), gone]);
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'attempt-id': attempt,
    'response-stamp': `${id}.${attempt}`,
    'weight-versions': '1',
  });
  for (let event = 1; event <= events && !response.destroyed; event += 1) {
    response.write(`id: ${event}\ndata: ${attempt} ${event} of ${events} ${id}\n\n`);
    if (event < events) await Promise.race([sleep(options.eventMs * slowedTimes), gone]);
  }
  response.end();
  held.users -= 1;
}

process.on('message', ({ kind, adapter, version, times }) => {
  if (kind === 'version') newest.set(adapter, version);
  else if (kind === 'slow') slowedTimes = times;
  else isSpoiling = kind === 'spoil';
});
server.keepAliveTimeout = 10_000;
server.listen(0, ip, () => {
  const entry = {
    service,
    address: `${ip}:${server.address().port}`,
    zone,
    version: 'v1',
    slots: 96,
    state: 'ready',
    coldLeftMs: 0,
    stage: 'mixed',
    models: [{ name: model, version: 1, adapters: [] }],
    callSeq: 0,
  };
  process.send({ kind: 'entry', id, entry });
});
process.on('disconnect', () => process.exit(0));
