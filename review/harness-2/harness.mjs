/* global setTimeout, clearTimeout, performance, URL */
// Starts the project's program as separate processes on loopback addresses, beside small stand-ins of the platform's
// store, of runners and of clients that follow PROTOCOL.md. Used by the scripts of review/6 to review/9.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const TROUBLE = process.env.TROUBLE !== '0';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedMs = performance.now();
export const nowMs = () => performance.now() - startedMs;

/** A folder for settings and logs, removed at the end. */
const folder = mkdtempSync(join(tmpdir(), 'review-2-'));
/** Called at the end. */
const endings = [];
export const atEnd = (work) => endings.push(work);

// --- the record ------------------------------------------------------------------------------------

let recordFile;
export function openRecord(file) {
  recordFile = file;
  writeFileSync(file, `TROUBLE=${TROUBLE ? 1 : 0}; times in seconds from the start of the script\n`);
}
export function note(text) {
  appendFileSync(recordFile, `${(nowMs() / 1000).toFixed(3)} ${text}\n`);
}

/** Runs a script: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Ends all processes. */
export async function runCase(file, limitS, work) {
  openRecord(file);
  const limit = setTimeout(() => finish(2, `not done after ${limitS} s`), limitS * 1000);
  let isFinished = false;
  async function finish(code, text) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(limit);
    note(`RESULT ${code}: ${text}`);
    process.stdout.write(`${code === 1 ? 'broken' : code === 0 ? 'held' : 'could not run'}: ${text}\n`);
    for (const end of endings.reverse()) {
      try {
        await end();
      } catch {
        // Whatever else was started is ended all the same.
      }
    }
    rmSync(folder, { recursive: true, force: true });
    process.exit(code);
  }
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => void finish(2, signal));
  try {
    const broken = await work();
    await finish(
      broken.length > 0 ? 1 : 0,
      broken.length > 0 ? broken.slice(0, 5).join('; ') : 'no rule broken',
    );
  } catch (cause) {
    await finish(2, cause instanceof Error ? (cause.stack ?? cause.message) : String(cause));
  }
}

export class Unable extends Error {}

/** Waits until `isDone` returns something true; throws after the limit. */
export async function until(what, isDone, limitMs) {
  const endMs = nowMs() + limitMs;
  for (;;) {
    const found = await isDone();
    if (found) return found;
    if (nowMs() > endMs) throw new Unable(`${what}: not within ${limitMs} ms`);
    await sleep(50);
  }
}

// --- addresses -------------------------------------------------------------------------------------

/** Loopback addresses that differ between runs of scripts at the same time. */
const net2 = 16 + (process.pid % 200);
const net3 = Math.floor(process.pid / 200) % 250;
export const loopback = (number) => `127.${net2}.${net3}.${number}`;

async function freePort(host) {
  const server = net.createServer();
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

// --- the platform's store --------------------------------------------------------------------------

export class Store {
  #items = new Map();
  #revision = 1;
  #watches = new Set();
  /** Called with each call before it is answered; what it resolves to true is not answered here. */
  hinder = undefined;

  async start() {
    this.server = http.createServer((request, response) => void this.#serve(request, response));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    atEnd(() => this.server.closeAllConnections());
    return this;
  }

  get revision() {
    return this.#revision;
  }

  put(key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  remove(key) {
    if (this.#items.get(key)?.value !== undefined) this.#write(key, undefined);
  }

  #write(key, value) {
    this.#revision += 1;
    const made = this.#items.get(key)?.made ?? this.#revision;
    this.#items.set(key, { value, revision: this.#revision, made });
    for (const watch of [...this.#watches]) if (key.startsWith(watch.prefix)) watch.answer();
  }

  #item(key) {
    const { value, revision, made } = this.#items.get(key);
    return value === undefined
      ? { privateKey: key, revision, gone: true }
      : { privateKey: key, value, revision, made, lease: 0 };
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const json = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    if (this.hinder !== undefined && (await this.hinder(request, response, url)) === true) return;
    await sleep(4);
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix)).sort();
    if (url.pathname === '/kv-key') {
      const key = url.searchParams.get('privateKey');
      if (this.#items.get(key)?.value === undefined) json(404, {});
      else json(200, { ...this.#item(key), at: this.#revision });
    } else if (url.pathname === '/kv-range') {
      const after = url.searchParams.get('after') ?? '';
      const items = keys.filter((key) => key > after && this.#items.get(key).value !== undefined);
      json(200, { items: items.map((key) => this.#item(key)), more: false, at: this.#revision });
    } else if (url.pathname === '/kv-watch') {
      const after = Number(url.searchParams.get('after'));
      const watch = {
        prefix,
        answer: () => {
          clearTimeout(timer);
          this.#watches.delete(watch);
          const changed = [...this.#items.keys()].filter((key) => key.startsWith(prefix));
          const events = changed.map((key) => this.#item(key)).filter(({ revision }) => revision > after);
          json(200, { events: events.sort((a, b) => a.revision - b.revision), at: this.#revision });
        },
      };
      const timer = setTimeout(() => watch.answer(), Number(url.searchParams.get('waitMs')));
      if (keys.some((key) => this.#items.get(key).revision > after)) watch.answer();
      else this.#watches.add(watch);
    } else json(404, {});
  }
}

// --- runners ---------------------------------------------------------------------------------------

/** "answers, as of some hundred ms back" */
const REPORT_LAG_MS = 300;
const COLD_MS = 250;
const WARM_MS = 25;

/**
 * A runner of one service. With `model` it is a model runner with adapters, which takes orders; without, an
 * application server.
 */
export class Runner {
  /** Orders that arrived: { atMs, holder, fence, status, ... }. */
  orders = [];
  /** Requests that it ran: { atMs, id, ... }. */
  runs = [];
  /** Requests that arrived, run or not. */
  arrivals = [];
  #adapters = new Map();
  #heldBefore = new Set();
  #callSeq = 0;
  #states = [];
  state = 'ready';
  /** Serves a request itself if it returns true. */
  behave = undefined;

  constructor({
    store,
    id,
    service,
    zone,
    model,
    adapterSlots = 6,
    workMs = 40,
    eventMs = 20,
    software = 'v1',
  }) {
    Object.assign(this, { store, id, service, zone, model, adapterSlots, workMs, eventMs, software });
  }

  async start(host = '127.0.0.1') {
    this.server = http.createServer((request, response) => void this.#serve(request, response));
    this.server.keepAliveTimeout = 30_000;
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    atEnd(() => this.server.closeAllConnections());
    this.#changed();
    return this;
  }

  get entry() {
    const models = this.model === undefined ? {} : { stage: 'mixed', models: this.#models() };
    return {
      service: this.service,
      address: this.listedAddress ?? this.address,
      zone: this.zone,
      version: this.software,
      slots: this.model === undefined ? 6 : 96,
      state: this.state,
      coldLeftMs: 0,
      callSeq: this.#callSeq,
      ...models,
    };
  }

  /** Writes its entry to the store. */
  list() {
    this.isListed = true;
    this.store.put(`servers/${this.id}`, this.entry);
  }

  /** Takes its entry from the store. */
  unlist() {
    this.isListed = false;
    this.store.remove(`servers/${this.id}`);
  }

  drain() {
    this.state = 'draining';
    this.list();
  }

  #models() {
    const adapters = [...this.#adapters].filter(([, held]) => held.isLoaded).map(([name]) => `${name}@1`);
    return [{ name: this.model, version: 1, adapters }];
  }

  #changed() {
    const pending = [...this.#adapters].filter(([, held]) => !held.isLoaded);
    const report = {
      stage: 'mixed',
      models: this.model === undefined ? [] : this.#models(),
      busy: false,
      callSeq: this.#callSeq,
      pending: pending.map(([name]) => `${this.model}/${name}@1`),
    };
    this.#states.push({ atMs: nowMs(), report });
    if (this.#states.length > 1000) this.#states.shift();
    if (this.isListed) this.list();
  }

  #report() {
    const asOfMs = nowMs() - REPORT_LAG_MS;
    const past = this.#states.findLast(({ atMs }) => atMs <= asOfMs) ?? this.#states[0];
    const runs = [...this.running].map((id) => [id, 100, 1, 5]);
    return {
      ...past.report,
      queueDepth: 0,
      inFlight: runs.length,
      kvUsed: 100,
      kvTotal: 120000,
      handles: 0,
      runs,
    };
  }

  /** Begins to use an adapter, which is not unloaded meanwhile; returns false if the runner does not hold it. */
  takes(adapter) {
    const held = this.#adapters.get(adapter);
    if (held?.isLoaded !== true) return false;
    held.users += 1;
    return true;
  }

  leaves(adapter) {
    const held = this.#adapters.get(adapter);
    if (held !== undefined) held.users -= 1;
  }

  running = new Set();

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'instance-id': this.id, 'content-length': 0 }).end();
    } else if (request.url === '/report') {
      const text = JSON.stringify(this.#report());
      response.writeHead(200, { 'content-type': 'application/json' }).end(text);
    } else if (request.url === '/health') {
      response
        .writeHead(this.state === 'ready' ? 200 : 503, { 'instance-id': this.id, 'content-length': 0 })
        .end();
    } else if (request.url === '/order') {
      const order = JSON.parse(body.toString());
      const status = this.#order(order);
      this.orders.push({
        atMs: nowMs(),
        runner: this.id,
        holder: order.holder,
        fence: order.fencingToken,
        status,
      });
      note(
        `${this.id} order ${order.opcode} ${order.adapter} of ${order.holder} fence ${order.fencingToken} ` +
          `expectedRev ${order.expectedRev}: ${status}`,
      );
      response.writeHead(status, { 'content-length': 0 }).end();
    } else await this.#run(request, response, body);
  }

  #order({ opcode, adapter, holder, fencingToken, expectedRev }) {
    if (!holder || fencingToken === undefined || adapter === undefined) return 400;
    if (expectedRev !== undefined && expectedRev !== this.#callSeq) return 409;
    const held = this.#adapters.get(adapter);
    if (opcode === 'load') {
      if (held !== undefined) return 200;
      this.#callSeq += 1;
      const added = { isLoaded: false, users: 0 };
      this.#adapters.set(adapter, added);
      setTimeout(
        () => {
          added.isLoaded = true;
          this.#changed();
        },
        this.#heldBefore.has(adapter) ? WARM_MS : COLD_MS,
      );
      this.#heldBefore.add(adapter);
      this.#changed();
      return 202;
    }
    if (held === undefined) return 200;
    if (held.users > 0 || !held.isLoaded) return 409;
    this.#callSeq += 1;
    this.#adapters.delete(adapter);
    this.#changed();
    return 200;
  }

  async #run(request, response, body) {
    const id = request.headers['attempt-id'];
    const arrival = {
      atMs: nowMs(),
      runner: this.id,
      id,
      method: request.method,
      path: request.url,
      headers: request.headers,
    };
    this.arrivals.push(arrival);
    if (id === undefined) {
      response.writeHead(400, { 'not-executed': '1', 'content-length': 0 }).end();
      return;
    }
    if (
      this.behave !== undefined &&
      (await this.behave({ runner: this, request, response, body, id })) === true
    )
      return;
    const [model, adapter] = String(request.headers.model ?? '').split('/');
    if (this.model !== undefined) {
      if (model !== this.model || (adapter !== undefined && !this.takes(adapter))) {
        response.writeHead(421, { 'not-executed': '1', 'content-length': 0 }).end();
        return;
      }
      await this.stream(request, response, id);
      this.leaves(adapter);
      return;
    }
    this.began(id);
    await sleep(this.workMs);
    this.ended(id);
    if (response.destroyed) return;
    const text = `answer of ${this.id} to ${id}`;
    response.writeHead(200, { ...this.headersOf(id), 'content-length': Buffer.byteLength(text) }).end(text);
  }

  began(id) {
    this.runs.push({ atMs: nowMs(), runner: this.id, id });
    this.running.add(id);
    note(`${this.id} runs ${id}`);
  }

  ended(id) {
    this.running.delete(id);
  }

  eventText(id, event) {
    return `id: ${event}\ndata: ${id}.${event}\n\n`;
  }

  /** Closes all connections at once and takes no new ones, as a crash does. */
  crash() {
    note(`${this.id} crashes`);
    this.server.closeAllConnections();
    this.server.close();
  }

  headersOf(id) {
    return { 'attempt-id': id, 'response-stamp': `s.${this.id}.${id}`, 'weight-versions': '1' };
  }

  async stream(request, response, id) {
    this.began(id);
    const events = Number(String(request.headers['token-count'] ?? '1,10').split(',')[1] ?? 10);
    const last = request.headers['last-event-id'];
    await sleep(60);
    response.writeHead(200, { ...this.headersOf(id), 'content-type': 'text/event-stream' });
    for (
      let event = last === undefined ? 0 : Number(last) + 1;
      event < events && !response.destroyed;
      event += 1
    ) {
      response.write(this.eventText(id, event));
      await sleep(this.eventMs);
    }
    this.ended(id);
    if (!response.destroyed) response.end();
  }
}

// --- nodes -----------------------------------------------------------------------------------------

const RUN = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ');
const TEMPLATE = readFileSync(join(ROOT, 'deploy/node-settings.json.template'), 'utf8');

/** Fills the template as DEPLOY.md says, as far as the deploy file's template needs it. */
function fill(template, fields) {
  const get = (path) => path.split('.').reduce((value, name) => value?.[name], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, text) => (get(path) ? text : ''))
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => JSON.stringify(get(path)));
}

/** Bounds of the site imena-kigali. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  syncS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  downgradeSlackMs: 250,
  stretchMaxMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 58,
  recoverS: 12,
  passMs: 120,
  retryAfterS: 0,
  fencingRequired: false,
  leaseMs: 3000,
  thawMs: 300,
  ceilingWindowS: 5,
  ceilingOver: 1.1,
  version_ms: 5000,
  ttl_max_s: 5,
};

/** One machine of the system with the program on it. */
export class Node {
  constructor({ name, number, zone, store, seeds, bounds = BOUNDS, heartbeatMs = 1200 }) {
    Object.assign(this, { name, number, zone, store, seeds, bounds, heartbeatMs });
    this.ip = loopback(number);
    this.log = join(folder, `${name}.log`);
    this.starts = 0;
  }

  /** Chooses its ports; to be called before settings name it as a seed. */
  async prepare() {
    const port = () => freePort(this.ip);
    this.front = `${this.ip}:${await port()}`;
    this.ready = `${this.ip}:${await port()}`;
    this.control = `${this.ip}:${await port()}`;
    this.directory = `${this.ip}:${await port()}`;
    this.metricsPort = await port();
    return this;
  }

  settings() {
    const filled = fill(TEMPLATE, {
      node: this.name,
      ip: this.ip,
      zone: this.zone,
      region: 'kigali',
      limits: { cpuShare: 0.675, cores: 1, maxFds: 4100, memoryMb: 350 },
      listen: { front: this.front, ready: this.ready, control: this.control, directory: this.directory },
      seeds: this.seeds(),
      platform: { address: this.storeAddress ?? this.store.address, historyS: 20 },
      bounds: this.bounds,
      heartbeatMs: this.heartbeatMs,
      bootstrap: this.starts === 0,
    });
    // The port of its own figures is the same on all machines; here it has to be free.
    return filled.replace('"metricsPort": 9464', `"metricsPort": ${this.metricsPort}`);
  }

  writeSettings() {
    this.file = join(folder, `${this.name}.json`);
    writeFileSync(this.file, this.settings());
  }

  start() {
    this.writeSettings();
    this.starts += 1;
    const output = openSync(this.log, 'a');
    const [program, ...args] = RUN;
    this.process = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', CANVASRIDGE_CONFIG: this.file },
      stdio: ['ignore', output, output],
    });
    const started = this.process;
    this.exited = new Promise((resolve) => {
      started.once('exit', (code, signal) => {
        note(`${this.name} ended: code ${code} signal ${signal}`);
        resolve({ code, signal });
      });
    });
    atEnd(() => {
      if (started.exitCode === null && started.signalCode === null) started.kill('SIGKILL');
    });
    note(`${this.name} started (pid ${started.pid})`);
  }

  get isRunning() {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  signal(name) {
    note(`${this.name} gets ${name}`);
    this.process.kill(name);
  }

  async isReady() {
    const answer = await fetchText(`http://${this.ready}/readiness`, 1000);
    return answer?.status === 200;
  }

  /** The addresses that its directory gives. */
  async resolve() {
    const answer = await fetchText(
      `http://${this.directory}/resolve?name=ficu95.example&region=kigali&zone=${this.zone}`,
      1000,
    );
    return answer?.text;
  }

  readLog() {
    return readFileSync(this.log, 'utf8');
  }
}

// --- clients ---------------------------------------------------------------------------------------

export function fetchText(url, timeoutMs) {
  return new Promise((resolve) => {
    const request = http.get(url, { agent: false, timeout: timeoutMs }, (response) => {
      let text = '';
      response.on('data', (chunk) => (text += chunk));
      response.on('end', () => resolve({ status: response.statusCode, text }));
      response.on('error', () => resolve(undefined));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(undefined));
  });
}

let sent = 0;
export const newId = () => {
  sent += 1;
  return (0x9c41d07be2a00000n + BigInt(process.pid % 1000) * 100_000n + BigInt(sent)).toString(16);
};

/** Sends one request; resolves to { id, status, headers, text, isWhole, error }. Never rejects. */
export function send(
  front,
  { method = 'POST', path, host, headers = {}, body, deadlineMs = 5000, agent = false, id = newId() },
) {
  return new Promise((resolve) => {
    const [hostname, port] = front.split(':');
    const sentMs = nowMs();
    let text = '';
    let status;
    let answered;
    let isDone = false;
    const done = (fields) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const answer = {
        id,
        status,
        headers: answered?.headers ?? {},
        text,
        isWhole: false,
        sentMs,
        tookMs: nowMs() - sentMs,
        ...fields,
      };
      note(
        `client: ${id} ${method} ${path} at ${front}: ${answer.status ?? answer.error}${answer.isWhole ? '' : ' (not whole)'}`,
      );
      resolve(answer);
    };
    const request = http.request({
      hostname,
      port,
      method,
      path,
      agent,
      headers: { host, 'attempt-id': id, 'deadline-ms': String(deadlineMs), ...headers },
    });
    const timer = setTimeout(() => {
      done({ error: 'deadline' });
      request.destroy();
    }, deadlineMs);
    request.on('response', (response) => {
      answered = response;
      status = response.statusCode;
      response.on('data', (chunk) => (text += chunk));
      response.on('end', () => done({ isWhole: response.complete }));
      response.on('aborted', () => done({ error: 'broken off' }));
      response.on('error', () => done({ error: 'broken off' }));
    });
    request.on('error', (cause) => done({ error: cause.code ?? cause.message }));
    request.end(body);
  });
}

/** A configuration like that of the site imena-kigali. */
export function configuration(version, changes = {}) {
  const llm = {
    name: 'imena-llm',
    healthPath: '/health',
    maxConns: 500,
    protocol: 'h1',
    tls: false,
    engine: {
      slots: 96,
      kvCapacity: 122543,
      kvTokenBytes: 131072,
      models: [{ name: 'm0', mb: 16100, loadS: 0.6, adapters: 3000, adapterMb: 14, warmS: 0.54, diskS: 0.7 }],
      mb: 16500,
      adapterSlots: 6,
      loadsPerS: 2.1,
    },
  };
  const api = { name: 'imena-api', healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false };
  const stream = {
    host: 'ficu95.example',
    kind: 'streaming',
    sloMs: 1000,
    gapSloMs: 400,
    service: 'imena-llm',
    sticky: true,
  };
  const plain = { host: 'ficu95.example', timeoutMs: 1000, sloMs: 193, priority: 2, service: 'imena-api' };
  return {
    version,
    routes: [
      {
        name: 'agent-query',
        pathPrefix: '/lohu930/',
        timeoutMs: 5000,
        priority: 2,
        attempts: 2,
        resumable: true,
        ...stream,
      },
      {
        name: 'sender-summary',
        pathPrefix: '/tuvo118/',
        timeoutMs: 15000,
        priority: 0,
        attempts: 2,
        resumable: true,
        ...stream,
      },
      {
        name: 'flag-note',
        pathPrefix: '/pufi791/',
        timeoutMs: 6000,
        priority: 1,
        attempts: 1,
        resumable: false,
        ...stream,
      },
      { name: 'payout-status', pathPrefix: '/puxa403/', kind: 'non_idempotent', attempts: 1, ...plain },
      { name: 'receipt-fetch', pathPrefix: '/cufi504/', kind: 'idempotent', attempts: 2, ...plain },
    ],
    services: [llm, api],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    ...changes,
  };
}

/** A request of the route `agent-query`, or of another one of the model runners, for an adapter. */
export const agentQuery = (adapter, events = 10, path = '/lohu930/2f', deadlineMs = 5000) => ({
  path,
  host: 'ficu95.example',
  headers: {
    model: `m0/${adapter}`,
    'token-count': `400,${events}`,
    'prompt-prefix': `5c1e07a2:250,${Math.floor(Math.random() * 2 ** 32).toString(16)}:150`,
  },
  body: 'x'.repeat(400),
  deadlineMs,
});

// --- rules -----------------------------------------------------------------------------------------

/**
 * The rule ONE at one runner that doesn't check fences: one fencing token with two holders, a lower one after a higher
 * one, or holders taking turns within the lease; for turns, only orders that were not refused count.
 */
export function breaksOfOne(orders, leaseMs) {
  const broken = [];
  let highest;
  let last;
  for (const order of orders) {
    const { runner, holder, fence, atMs, status } = order;
    const at = `${runner} at ${(atMs / 1000).toFixed(3)} s`;
    if (highest !== undefined && fence < highest.fence)
      broken.push(`ONE ${at}: fence ${fence} of ${holder} after ${highest.fence} of ${highest.holder}`);
    else if (highest !== undefined && fence === highest.fence && holder !== highest.holder)
      broken.push(`ONE ${at}: fence ${fence} of ${holder} and of ${highest.holder}`);
    if (highest === undefined || fence > highest.fence) highest = order;
    if (status === 409) continue;
    if (last !== undefined && last.holder !== holder && atMs - last.atMs < leaseMs)
      broken.push(
        `ONE ${at}: ${last.holder} and ${holder} take turns within ${Math.round(atMs - last.atMs)} ms`,
      );
    last = order;
  }
  return broken;
}
