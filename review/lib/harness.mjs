/**
 * Starts nodes of the product as the deploy file says, on loopback addresses, and a stand-in of the platform's store.
 * Everything runs in a temporary folder and ends with `Harness.stop`.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { clearTimeout, setTimeout as startTimer } from 'node:timers';
import { fileURLToPath, URL, URLSearchParams } from 'node:url';
import { Buffer } from 'node:buffer';
import { request as httpRequest, Agent } from 'node:http';

export { sleep };
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const EXIT = { held: 0, broken: 1, notRun: 2 };
export const TROUBLE = process.env.TROUBLE !== '0';

/** What every configuration here says of clients' requests, as in the examples of the users' pages. */
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** Bounds of the site vidiral-replay. */
const BOUNDS = {
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
  budgetSlack: 54,
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

/** Fills a settings template by the rules of the users' page on the deploy file. */
export function fillTemplate(template, fields, scopes = [fields]) {
  const find = (path) => {
    if (path === '.') return scopes[0];
    const parts = path.split('.');
    for (const scope of scopes) {
      let value = scope;
      for (const part of parts) value = value === null || value === undefined ? undefined : value[part];
      if (value !== undefined) return value;
    }
    return undefined;
  };
  const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
  let text = template;
  for (let match = section.exec(text); match !== null; match = section.exec(text)) {
    const value = find(match[2]);
    const isSet = value !== undefined && value !== false && value !== null;
    const shown = isSet === (match[1] === '#') ? match[3] : '';
    text = text.slice(0, match.index) + shown + text.slice(match.index + match[0].length);
  }
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = find(path);
    if (json !== undefined) return JSON.stringify(value ?? null);
    return value === undefined ? '' : String(value);
  });
}

/** Writes what was sent, answered and run, one line each, into `record.txt` of a case's folder. */
export class Record {
  #file;
  #startedMs = Date.now();

  constructor(folder) {
    this.#file = join(folder, 'record.txt');
    writeFileSync(this.#file, '');
  }

  line(text) {
    const atMs = String(Date.now() - this.#startedMs).padStart(6);
    appendFileSync(this.#file, `${atMs} ms  ${text}\n`);
  }
}

/** Stand-in of the platform's store: ranges and watches over keys, as PROTOCOL tells them. */
export class Store {
  #entries = new Map();
  #watches = new Set();
  #revision = 10;
  #server = createServer((request, response) => this.#serve(request, response));

  async start(ip) {
    this.address = `${ip}:${await listen(this.#server, ip)}`;
  }

  put(key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  remove(key) {
    if (this.#entries.get(key)?.value !== undefined) this.#write(key, undefined);
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #write(key, value) {
    this.#revision += 1;
    const made = this.#entries.get(key)?.made ?? this.#revision;
    this.#entries.set(key, { value, revision: this.#revision, made });
    for (const watch of [...this.#watches]) if (key.startsWith(watch.prefix)) watch.respond();
  }

  #item(key) {
    const { value, revision, made } = this.#entries.get(key);
    if (value === undefined) return { privateKey: key, revision, gone: true };
    return { privateKey: key, value, revision, made, lease: 0 };
  }

  #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const keys = [...this.#entries.keys()].filter((key) => key.startsWith(prefix)).sort();
    if (url.pathname === '/kv-range') {
      const items = keys.filter((key) => key > after && this.#entries.get(key).value !== undefined);
      const page = items.slice(0, 500).map((key) => this.#item(key));
      respondJson(response, { items: page, more: items.length > 500, at: this.#revision });
    } else if (url.pathname === '/kv-watch') {
      this.#watch(prefix, Number(after), Number(url.searchParams.get('waitMs')), request, response);
    } else response.writeHead(404).end();
  }

  #watch(prefix, after, waitMs, request, response) {
    const eventsNow = () =>
      [...this.#entries.keys()]
        .filter((key) => key.startsWith(prefix) && this.#entries.get(key).revision > after)
        .map((key) => this.#item(key))
        .sort((a, b) => a.revision - b.revision);
    const watch = {
      prefix,
      respond: () => {
        forget();
        respondJson(response, { events: eventsNow(), at: this.#revision });
      },
    };
    const forget = () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
      request.socket.off('close', forget);
    };
    const timer = startTimer(() => watch.respond(), Math.min(waitMs, 30_000));
    this.#watches.add(watch);
    request.socket.once('close', forget);
    if (eventsNow().length > 0) watch.respond();
  }
}

function respondJson(response, body) {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Passes connections on to one address. It can make all open ones silent for good; new ones work. */
export class Link {
  #target;
  #pairs = new Set();
  #server = net.createServer({ allowHalfOpen: true }, (near) => this.#open(near));

  /** @param target `IP:port` */
  constructor(target) {
    this.#target = target;
  }

  async start(ip) {
    this.address = `${ip}:${await listen(this.#server, ip)}`;
  }

  /** From now on nothing passes on the connections that are open, in either direction; none is closed. */
  silenceOpen() {
    const { size } = this.#pairs;
    for (const pair of this.#pairs) {
      pair.near.unpipe(pair.far);
      pair.far.unpipe(pair.near);
      pair.near.removeAllListeners('end').resume();
      pair.far.removeAllListeners('end').resume();
      pair.isSilent = true;
    }
    return size;
  }

  stop() {
    for (const { near, far } of this.#pairs) for (const socket of [near, far]) socket.destroy();
    this.#server.close();
  }

  #open(near) {
    const [host, port] = this.#target.split(':');
    const far = net.connect({ host, port: Number(port), allowHalfOpen: true });
    const pair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    near.pipe(far);
    far.pipe(near);
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        if (pair.isSilent && !near.destroyed) return;
        this.#pairs.delete(pair);
        other.destroy();
      });
    }
  }
}

/** Binds a server to a free port; resolves to the port. */
export function listen(server, ip) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, () => resolve(server.address().port));
  });
}

async function freePorts(ip, count) {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = net.createServer();
      await listen(server, ip);
      return server;
    }),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

export class Harness {
  store = new Store();
  nodes = [];
  #children = new Set();
  #run = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
    .match(/^run = "(.*)"$/m)[1]
    .split(' ');
  #template = readFileSync(join(ROOT, 'deploy', 'node-settings.json.template'), 'utf8');
  #network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;

  constructor(record) {
    this.record = record;
    if (!existsSync(join(ROOT, 'target', 'canvasridge.cjs'))) throw new Error('build the deploy file first');
    this.folder = mkdtempSync(join(tmpdir(), 'canvasridge-review-'));
  }

  /** An address of this run's own on loopback. */
  ip(number) {
    return `${this.#network}.${number}`;
  }

  /** @param storeLink whether nodes reach the store through `this.storeLink` */
  async start({ nodes = 3, zones = ['zone-a', 'zone-b', 'zone-c'], bounds = {}, storeLink = false }) {
    await this.store.start(this.ip(5));
    if (storeLink) {
      this.storeLink = new Link(this.store.address);
      await this.storeLink.start(this.ip(6));
    }
    const plans = [];
    for (let number = 0; number < nodes; number += 1) {
      const ip = this.ip(11 + number);
      const [front, ready, control, directory] = await freePorts(ip, 4);
      plans.push({ ip, front, ready, control, directory, zone: zones[number % zones.length] });
    }
    const seeds = plans.slice(0, 3).map(({ ip, control }) => `${ip}:${control}`);
    for (const [number, plan] of plans.entries()) {
      const fields = {
        node: `front-${plan.zone}-${number + 1}`,
        ip: plan.ip,
        zone: plan.zone,
        region: 'region-1',
        listen: {
          front: `${plan.ip}:${plan.front}`,
          ready: `${plan.ip}:${plan.ready}`,
          control: `${plan.ip}:${plan.control}`,
          directory: `${plan.ip}:${plan.directory}`,
        },
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 350 },
        seeds,
        heartbeatMs: 1200,
        bounds: { ...BOUNDS, ...bounds },
        platform: { address: (this.storeLink ?? this.store).address, historyS: 20 },
      };
      this.nodes.push({ ...plan, name: fields.node, fields, starts: 0, process: undefined });
    }
    for (const node of this.nodes) this.startNode(node);
  }

  startNode(node) {
    const file = join(this.folder, `${node.name}.json`);
    const fields = { ...node.fields, bootstrap: node.starts === 0 };
    writeFileSync(file, fillTemplate(this.#template, fields));
    const [command, ...args] = this.#run;
    node.starts += 1;
    node.process = this.spawn(command, args, { CANVASRIDGE_CONFIG: file }, `${node.name}.log`);
  }

  /** Starts a process at the root of the repository; its output goes into a file of the temporary folder. */
  spawn(command, args, env, logName) {
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ...env },
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    const log = join(this.folder, logName);
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (bytes) => appendFileSync(log, bytes));
    this.#children.add(child);
    child.ended = new Promise((resolve) => child.once('exit', resolve));
    child.once('exit', () => this.#children.delete(child));
    return child;
  }

  /** Resolves when all nodes are ready. */
  async waitUntilReady(limitMs = 20_000) {
    const untilMs = Date.now() + limitMs;
    for (const node of this.nodes) {
      while (!(await isReady(node))) {
        if (Date.now() > untilMs) throw new Error(`${node.name} is not ready`);
        await sleep(100);
      }
    }
  }

  /** Ends all processes that were started. */
  kill() {
    for (const child of this.#children) child.kill('SIGKILL');
  }

  async stop() {
    this.kill();
    await Promise.all([...this.#children].map((child) => child.ended));
    this.storeLink?.stop();
    this.store.stop();
    this.removeFolder();
  }

  removeFolder() {
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}

async function isReady({ ip, ready }) {
  try {
    return (await get(ip, ready, '/readiness')).status === 200;
  } catch {
    return false;
  }
}

/** One request that is not a client's. */
export function get(ip, port, path) {
  return exchange({ ip, port, method: 'GET', path, headers: {}, limitMs: 1000 });
}

/**
 * Sends one request and reads the whole answer. Rejects if the connection ends within it or after `limitMs`.
 * @param agent keeps connections; a new one is opened for each request without it
 */
export function exchange({ ip, port, method, path, headers, body, agent, limitMs = 5000 }) {
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      { host: ip, port, method, path, headers, agent: agent ?? new Agent({ keepAlive: false }) },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', fail);
        response.on('close', () => {
          if (!response.complete) fail(new Error('the answer ended early'));
        });
        response.on('end', () => {
          clearTimeout(timer);
          if (response.complete)
            resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) });
          else fail(new Error('the answer ended early'));
        });
      },
    );
    const fail = (cause) => {
      clearTimeout(timer);
      reject(cause);
    };
    const timer = startTimer(() => {
      request.destroy(new Error('gave up'));
    }, limitMs);
    request.on('error', fail);
    request.end(body);
  });
}

/** Finds front addresses as clients do: by a directory's answer, which it holds on to for the time told there. */
export class Resolver {
  #nodes;
  #host;
  #addresses = [];
  #untilMs = 0;

  /** @param number of the client, which decides which nodes are asked first */
  constructor(nodes, number, host) {
    const first = number % nodes.length;
    this.#nodes = [...nodes.slice(first), ...nodes.slice(0, first)].slice(0, 3);
    this.#host = host;
  }

  /** An address at random, as `{ ip, port }`. */
  async pick() {
    for (let tries = 0; Date.now() >= this.#untilMs && tries < 5; tries += 1) await this.#ask();
    if (this.#addresses.length === 0) throw new Error('no directory answered');
    const [ip, port] = this.#addresses[Math.floor(Math.random() * this.#addresses.length)].split(':');
    return { ip, port };
  }

  async #ask() {
    for (const node of this.#nodes) {
      const query = new URLSearchParams({ name: this.#host, region: 'region-1', zone: node.zone });
      try {
        const answer = await get(node.ip, node.directory, `/resolve?${query}`);
        const { addresses, ttlS } = JSON.parse(answer.body.toString('utf8'));
        this.#addresses = addresses;
        this.#untilMs = Date.now() + ttlS * 1000;
        return;
      } catch {
        // The next node is asked.
      }
    }
  }
}

let lastAttempt = 0;
/** A new id for a client attempt. */
export function newAttemptId() {
  lastAttempt += 1;
  return `${Math.floor(Math.random() * 2 ** 32)
    .toString(16)
    .padStart(8, '0')}${lastAttempt.toString(16).padStart(8, '0')}`;
}

/**
 * Runs a case: sets up, plays and judges it, ends all processes and exits as the issue says.
 * @param play returns the broken rules, one line each
 */
export async function runCase(folder, play) {
  const record = new Record(folder);
  let harness;
  let code = EXIT.notRun;
  const timer = startTimer(() => abandon('the case took too long'), 115_000);
  // A fault of the case itself is no broken rule.
  const abandon = (cause) => {
    record.line(`could not run: ${cause instanceof Error ? cause.stack : String(cause)}`);
    harness?.kill();
    harness?.removeFolder();
    process.exit(EXIT.notRun);
  };
  for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT'])
    process.on(event, abandon);
  try {
    harness = new Harness(record);
    const broken = await play(harness, record);
    for (const line of broken) record.line(`BROKEN ${line}`);
    for (const line of broken.slice(0, 5)) console.log(`BROKEN ${line}`);
    record.line(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    console.log(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    code = broken.length > 0 ? EXIT.broken : EXIT.held;
  } catch (cause) {
    record.line(`could not run: ${cause instanceof Error ? cause.stack : String(cause)}`);
    console.log(`could not run: ${String(cause)}`);
  }
  await harness?.stop();
  clearTimeout(timer);
  process.exit(code);
}
