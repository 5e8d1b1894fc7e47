/** Which way a node takes to a backend. */
import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import type { BackendDescription, BackendService } from '@canvasridge/serving';
import test from 'ava';
import { BackendConnections } from '../src/backends/backend-connections.js';
import type { PathState } from '../src/paths/service-path.js';
import { RelayHop } from '../src/relay/relay-hop.js';
import { BackendHops } from '../src/request/backend-hops.js';

const SERVICE: BackendService = { name: 'api', maxConnections: 10, engine: undefined };
const BACKEND: BackendDescription = {
  id: 'i1',
  service: SERVICE.name,
  address: socketAddress('127.0.0.1:1'),
  zone: 'a',
  state: 'ready',
  slots: 4,
  models: [],
};
const NONE = new Set<string>();

/** The way that is taken: `direct`, the id of the relaying node, or why there is none. */
async function way(
  state: PathState,
  peerId: string | undefined,
  hasFailedDirectly: boolean,
): Promise<string> {
  const connections = new BackendConnections();
  const paths = {
    state: () => state,
    beginWait: () => undefined,
    endWait: () => undefined,
    received: () => undefined,
  };
  const relays = {
    open: () => {
      const connection = connections.acquire({ id: 'peer', address: socketAddress('127.0.0.1:2') }, 10, 1);
      if (peerId === undefined || connection === undefined) return Promise.resolve(undefined);
      const callbacks = { onReceived: () => undefined, onEnded: () => undefined };
      return Promise.resolve(new RelayHop({ connection, peerId, backendId: BACKEND.id, ...callbacks }));
    },
  };
  const clock = new VirtualClock();
  const hops = new BackendHops({ clock, connections, paths, relays, fleetShare: () => 1 });
  const hop = await hops.open(BACKEND, SERVICE, NONE, hasFailedDirectly);
  connections.close();
  return typeof hop === 'string' ? hop : (hop.relay ?? 'direct');
}

test('a node sends a request itself while its path works, and through another node when it does not', async (t) => {
  t.is(await way('working', 'n2', false), 'direct');
  t.is(await way('lost', 'n2', false), 'n2');
  t.is(await way('limited', 'n2', false), 'n2', 'no connection is open');
});

// Such a request was tried five times, each until the connection timed out, though nothing could serve it.
test('a request that no node can send on is tried directly once and then has no way', async (t) => {
  t.is(await way('lost', undefined, false), 'direct');
  t.is(await way('lost', undefined, true), 'no-path');
});
