/** A running node and a peer that sends it spoiled input. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { SystemClock } from '@canvasridge/clock';
import { LimitedEvents } from '@canvasridge/telemetry';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import type { GatewayNode } from '../src/index.js';
import { PeerConnection } from '../src/peers/peer-connection.js';
import { PeerTraffic } from '../src/peers/peer-traffic.js';
import { startNode } from './running-node.js';

const GRACE_MS = 100;
export const ANSWER_MS = 2000;
export const SEED = 82;
/** Sound params of fleet.follow. */
export const KNOWN = {
  era: 1,
  operatorRevision: 0,
  operatorDigest: 0,
  backendsRevision: 0,
  routingDigest: 0,
};

const nested = fc.constant(
  JSON.parse('{"__proto__":{"id":"r1","pool":"none"},"constructor":{"prototype":{}}}') as unknown,
);
/** Values of any type. */
export const spoiled = fc.oneof(
  fc.constantFrom<unknown>(null, true, -1, 1e300, -1e300, '', 'x'.repeat(100_000), [], {}, [[]], [null]),
  nested,
  fc.jsonValue({ maxDepth: 3 }),
);

/** What spoiled input must not change. */
export function stateOf({ fleet, published, directory }: GatewayNode) {
  return {
    backends: [...fleet.allBackends()],
    revision: fleet.backendsRevision,
    era: fleet.era,
    versions: fleet.operatorState(),
    configuration: fleet.configurationVersion,
    isReady: !published.isStale,
    clients: directory.addresses('a', 'r', 8),
  };
}

export interface Peer {
  readonly node: GatewayNode;
  readonly lines: readonly string[];
  readonly peerPort: number;
  readonly connection: PeerConnection;
}

const UNLOGGED = new LimitedEvents({ event: () => undefined }, new SystemClock());

/** A running node with a connection to its port for peers. */
export async function connectTo(t: ExecutionContext): Promise<Peer> {
  const { node, lines, peerPort } = await startNode(t, { graceMs: GRACE_MS }, () => undefined);
  t.teardown(() => node.stop());
  const socket = connect(peerPort, '127.0.0.1');
  await once(socket, 'connect');
  t.teardown(() => socket.destroy());
  const connection = new PeerConnection(socket, {}, new PeerTraffic(), UNLOGGED, () => undefined);
  return { node, lines, peerPort, connection };
}
