/** The executable of a node as a process of its own, before a stand-in of the platform, for tests of crowds. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { readFileSync, readdirSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { buildPublication } from '@canvasridge/configuration';
import { configurationSchema } from '@canvasridge/domain';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

const EXECUTABLE = fileURLToPath(new URL('../../../bin/canvasridge-node.js', import.meta.url));
const HOST = '127.0.0.1';
const ANY = `${HOST}:0`;
const BYTES_PER_KB = 1024;
const TIMEOUT_MS = 30_000;
const POLL_MS = 20;

export const CALLER_KEY = 'a-caller-key';
export const PEER_KEY = 'a-peer-key-000001';
/** Names of the service's back ends in paths: `/services/NAME/...`. */
export const SERVICE = 'reports';

type BackEnd = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

/** Answers every request at once. */
export const answerAtOnce: BackEnd = (incoming, outgoing) => {
  incoming.resume();
  outgoing.end('done');
};

async function listen(t: ExecutionContext, server: Server): Promise<string> {
  server.listen(0, HOST);
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://${HOST}:${(server.address() as AddressInfo).port}`;
}

/** Starts a configuration service with one revision and an empty machine list. */
function startPlatform(t: ExecutionContext, backEndUrls: readonly string[]): Promise<string> {
  const configuration = configurationSchema.parse({
    bases: [{ name: 'llama' }],
    adapters: [],
    engines: [],
    services: [{ name: SERVICE, backEnds: backEndUrls.map((url) => ({ url, zone: 'z' })) }],
    callers: [
      {
        name: 'caller',
        team: 't',
        keySha256: [createHash('sha256').update(CALLER_KEY).digest('hex')],
        requestsPerSecond: 100_000,
        concurrency: 100_000,
      },
    ],
  });
  const { documents } = buildPublication(configuration, { revision: 0, digest: '0'.repeat(64) }, 0);
  const values = new Map(documents.map((document) => [document.key, document.value]));
  const server = createServer((incoming, outgoing) => {
    const key = decodeURIComponent(incoming.url?.split('?')[0]?.slice('/values/'.length) ?? '');
    outgoing.writeHead(200, { 'content-type': 'application/json' });
    if (incoming.url === '/machines') outgoing.end('[]');
    else if (incoming.url?.includes('after=1') !== true) {
      outgoing.end(JSON.stringify({ value: values.get(key), version: 1 }));
    }
  });
  return listen(t, server);
}

export interface NodeProcessSettings {
  /** Options of Node.js, such as the size of its heap. */
  readonly nodeFlags: readonly string[];
  /** One back end of the service each. */
  readonly backEnds: readonly BackEnd[];
}

/** A node that serves one service to one caller. */
export class CrowdedNode {
  readonly lines: string[] = [];
  /** `IP` and port of each door. */
  callers: { readonly host: string; readonly port: number } = { host: HOST, port: 0 };
  peers: { readonly host: string; readonly port: number } = { host: HOST, port: 0 };
  readonly #child: ChildProcess;

  private constructor(child: ChildProcess) {
    this.#child = child;
    for (const stream of [child.stdout, child.stderr])
      if (stream !== null) createInterface({ input: stream }).on('line', (line) => this.#read(line));
  }

  /** Resolves when the node is ready; it is killed when the test ends. */
  static async start(
    t: ExecutionContext,
    { nodeFlags, backEnds }: NodeProcessSettings,
  ): Promise<CrowdedNode> {
    const backEndUrls = await Promise.all(backEnds.map((backEnd) => listen(t, createServer(backEnd))));
    const platformUrl = await startPlatform(t, backEndUrls);
    const folder = await mkdtemp(join(tmpdir(), 'canvasridge-node-'));
    t.teardown(() => rm(folder, { recursive: true, force: true }));
    const settingsFile = join(folder, 'settings.json');
    const settings = {
      node: { id: 'node-a', zone: 'z' },
      listen: { callers: ANY, peers: ANY, gossip: ANY },
      platform: { configurationUrl: platformUrl, machineListUrl: platformUrl },
      peerKey: PEER_KEY,
      adminKey: 'an-admin-key-0001',
      drain: { lingerSeconds: 0, limitSeconds: 1 },
    };
    await writeFile(settingsFile, JSON.stringify(settings));
    const child = spawn(process.execPath, [...nodeFlags, EXECUTABLE, '--settings', settingsFile], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const node = new CrowdedNode(child);
    t.teardown(async () => {
      if (node.isRunning) child.kill('SIGKILL');
      if (node.isRunning) await once(child, 'exit');
    });
    await waitUntil(t, 'the node listens', () => !node.isRunning || node.callers.port > 0);
    if (!node.isRunning) t.fail(`the node has ended: ${node.lines.slice(-3).join(' ')}`);
    for (let state = 0; node.isRunning && state !== 200;)
      state = await request(`${node.url}/readyz`).then(async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      });
    return node;
  }

  get url(): string {
    return `http://${this.callers.host}:${this.callers.port}`;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** The most resident memory that the process has had so far; Infinity if it has ended. Linux only. */
  get residentPeakBytes(): number {
    if (!this.isRunning) return Infinity;
    const status = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? Infinity) * BYTES_PER_KB;
  }

  /** Descriptors that the process has open; Infinity if it has ended. Linux only. */
  get openDescriptors(): number {
    return this.isRunning ? readdirSync(`/proc/${this.#child.pid}/fd`).length : Infinity;
  }

  /** Status of one ordinary call of the service on a connection of its own. */
  async call(path = '/', body = 'x'.repeat(1000)): Promise<number> {
    const response = await request(`${this.url}/services/${SERVICE}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${CALLER_KEY}` },
      body,
      reset: true,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode;
  }

  #read(line: string): void {
    this.lines.push(line);
    if (!line.startsWith('{"ready"')) return;
    const { callersUrl, peersUrl } = JSON.parse(line) as { callersUrl: string; peersUrl: string };
    this.peers = { host: HOST, port: Number(new URL(peersUrl).port) };
    this.callers = { host: HOST, port: Number(new URL(callersUrl).port) };
  }
}

export async function waitUntil(
  t: ExecutionContext,
  description: string,
  condition: () => boolean,
): Promise<void> {
  for (let waitedMs = 0; waitedMs < TIMEOUT_MS; waitedMs += POLL_MS) {
    if (condition()) {
      t.pass(description);
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  t.fail(description);
}
