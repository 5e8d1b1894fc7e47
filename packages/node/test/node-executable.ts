import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { ExecutionContext } from 'ava';

const EXECUTABLE = fileURLToPath(new URL('../../bin/canvasridge-node.js', import.meta.url));
const ANY = '127.0.0.1:0';
const POLL_MS = 20;

/** The executable of a node of the product as a process of its own. */
export class NodeExecutable {
  output = '';

  private constructor(readonly child: ChildProcess) {
    for (const stream of [child.stdout, child.stderr])
      stream?.on('data', (bytes: Buffer) => (this.output += bytes.toString()));
  }

  /** Starts a node whose platform is out of reach; it is killed when the test ends. */
  static async start(t: ExecutionContext, change: object = {}): Promise<NodeExecutable> {
    const folder = await mkdtemp(join(tmpdir(), 'canvasridge-executable-'));
    t.teardown(() => rm(folder, { recursive: true }));
    const file = join(folder, 'settings.json');
    const settings = {
      node: { id: 'node-a', zone: 'z' },
      listen: { callers: ANY, peers: ANY, gossip: ANY },
      platform: { configurationUrl: 'http://127.0.0.1:9', machineListUrl: 'http://127.0.0.1:9' },
      peerKey: 'a-peer-key-000001',
      adminKey: 'an-admin-key-0001',
      drain: { lingerSeconds: 0, limitSeconds: 1 },
      ...change,
    };
    await writeFile(file, JSON.stringify(settings));
    const child = spawn(process.execPath, [EXECUTABLE, '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    t.teardown(() => child.kill('SIGKILL'));
    return new NodeExecutable(child);
  }

  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Resolves when the process has written this text, or has ended. */
  async wrote(text: string): Promise<void> {
    while (!this.hasEnded && !this.output.includes(text)) await pause(POLL_MS);
  }

  /** Resolves to where it listens for callers. */
  async ready(): Promise<{ host: string; port: number }> {
    await this.wrote('"ready":true');
    const url = new URL(/"callersUrl":"([^"]+)"/.exec(this.output)?.[1] ?? '');
    return { host: url.hostname, port: Number(url.port) };
  }

  /** Resolves to the exit code; null if a signal ended the process. */
  async ended(): Promise<number | null> {
    while (!this.hasEnded) await pause(POLL_MS);
    return this.child.exitCode;
  }
}
