/** The start of a node of the product while something else has one of its addresses. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
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
  return nodeSettingsSchema.parse({
    node: { id: 'node-a', zone: 'z' },
    listen: { callers: ANY, peers: ANY, gossip: ANY, ...listen },
    platform: { configurationUrl: 'http://127.0.0.1:9', machineListUrl: 'http://127.0.0.1:9' },
    peerKey: 'a-peer-key-000001',
    adminKey: 'an-admin-key-0001',
    log: { level: 'error' },
    drain: { lingerSeconds: 0, limitSeconds: 1 },
    startTimeoutSeconds,
  });
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
