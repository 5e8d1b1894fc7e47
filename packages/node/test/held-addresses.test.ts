/** The start of a node of the product while something else has one of its addresses. */
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { startNodeProcess, nodeSettingsSchema, type NodeSettings } from '../src/index.js';

const HOST = '127.0.0.1';
const ANY = `${HOST}:0`;

interface Held {
  readonly address: string;
  readonly release: () => void;
}

async function holdTcp(): Promise<Held> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  return { address: `${HOST}:${(server.address() as AddressInfo).port}`, release: () => server.close() };
}

async function holdUdp(): Promise<Held> {
  const socket = createSocket('udp4').bind(0, HOST);
  await once(socket, 'listening');
  return { address: `${HOST}:${socket.address().port}`, release: () => socket.close() };
}

function settings(listen: object, startTimeoutSeconds: number): NodeSettings {
  return nodeSettingsSchema.parse(document(listen, startTimeoutSeconds));
}

/** A settings file. */
function document(listen: object, startTimeoutSeconds: number): object {
  return {
    node: { id: 'node-a', zone: 'z' },
    listen: { callers: ANY, peers: ANY, gossip: ANY, ...listen },
    platform: { configurationUrl: 'http://127.0.0.1:9', machineListUrl: 'http://127.0.0.1:9' },
    peerKey: 'a-peer-key-000001',
    adminKey: 'an-admin-key-0001',
    log: { level: 'error' },
    drain: { lingerSeconds: 0, limitSeconds: 1 },
    startTimeoutSeconds,
  };
}

const HELD = [
  ['callers', holdTcp],
  ['peers', holdTcp],
  ['gossip', holdUdp],
] as const;

// The start failed at once.
for (const [field, hold] of HELD) {
  test(`a node of the product starts when an address that was in use is free again (${field})`, async (t) => {
    const { address, release } = await hold();
    const starting = startNodeProcess(settings({ [field]: address }, 60));
    setTimeout(release, 300);
    const started = await starting;
    await started._unsafeUnwrap().stop();
    t.pass();
  });
}

/** The executable, which the other tests of this file do without. */
const EXECUTABLE = fileURLToPath(new URL('../../bin/canvasridge-node.js', import.meta.url));

// The process printed its error and stayed: a socket that it had bound kept it alive, and no supervisor started it again.
test('the executable exits if an address stays in use', async (t) => {
  const { address, release } = await holdUdp();
  t.teardown(release);
  const folder = await mkdtemp(join(tmpdir(), 'canvasridge-held-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const file = join(folder, 'settings.json');
  await writeFile(file, JSON.stringify(document({ gossip: address }, 0.2)));
  const child = spawn(process.execPath, [EXECUTABLE, '--settings', file], { stdio: 'ignore' });
  t.teardown(() => child.kill('SIGKILL'));
  const [code] = (await once(child, 'exit')) as [number | null];
  t.is(code, 1);
});

test('the start fails if an address stays in use', async (t) => {
  const { address, release } = await holdTcp();
  const started = await startNodeProcess(settings({ callers: address }, 0.2));
  release();
  const { field, code } = started._unsafeUnwrapErr();
  t.deepEqual([field, code], ['listen.callers', 'EADDRINUSE']);
});

test('a node that is told to stop gives up waiting for an address', async (t) => {
  const { address, release } = await holdTcp();
  const started = await startNodeProcess(settings({ callers: address }, 60), AbortSignal.timeout(200));
  release();
  t.true(started.isErr());
});
