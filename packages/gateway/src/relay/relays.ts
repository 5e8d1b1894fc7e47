import type { BackendDescription } from '@canvasridge/serving';
import { BackendConnections } from '../backends/backend-connections.js';
import type { Cluster } from '../cluster/cluster.js';
import { isReusable, type BackendHop } from '../request/backend-hop.js';
import type { AttemptOutcome } from '../request/backend-attempt.js';
import { RelayHop } from './relay-hop.js';
import { RelayPeers, type RelayPeersOptions } from './relay-peers.js';

export interface RelaysOptions extends Omit<RelayPeersOptions, 'running'> {
  readonly cluster: RelayPeersOptions['cluster'] & Pick<Cluster, 'peerAddress'>;
}

/** Connections of this node to one relaying node, at most. */
const MAX_CONNECTIONS = 80;

/** Opens ways to backends through other nodes. */
export class Relays {
  readonly #options: RelaysOptions;
  readonly #peers: RelayPeers;
  readonly #connections = new BackendConnections();
  /** By member: requests that it relays for this node. */
  readonly #running = new Map<string, number>();

  constructor(options: RelaysOptions) {
    this.#options = options;
    this.#peers = new RelayPeers({ ...options, running: (id) => this.#running.get(id) ?? 0 });
  }

  /**
   * @param excluded members that could not relay this request
   * @param onReceived called whenever data of the backend arrives
   * @param mustAnswer whether the backend has to answer the relaying member now
   * @returns undefined if no other member relays it
   */
  async open(
    backend: BackendDescription,
    excluded: ReadonlySet<string>,
    onReceived: () => void,
    mustAnswer = false,
  ): Promise<BackendHop | undefined> {
    const { service, id: backendId } = backend;
    const peerId = await this.#peers.pick(service, excluded);
    if (mustAnswer && peerId !== undefined && !(await this.#peers.isAnswering(backend, peerId)))
      return undefined;
    const address = peerId === undefined ? undefined : this.#options.cluster.peerAddress(peerId);
    if (peerId === undefined || address === undefined) return undefined;
    const connection = this.#connections.acquire({ id: peerId, address }, MAX_CONNECTIONS, 1);
    if (connection === undefined) return undefined;
    this.#count(peerId, 1);
    const onEnded = (outcome: AttemptOutcome): void => {
      this.#count(peerId, -1);
      this.#connections.release(peerId, connection, isReusable(outcome));
      if (!showsPath(outcome)) this.#peers.failed(service, peerId);
    };
    return new RelayHop({ connection, peerId, backendId, onReceived, onEnded });
  }

  /** Asks some members; resolves to whether any of them reaches a service now. */
  isReachedByPeer(service: string): Promise<boolean> {
    return this.#peers.ask(service);
  }

  close(): void {
    this.#connections.close();
  }

  #count(peerId: string, change: number): void {
    const running = (this.#running.get(peerId) ?? 0) + change;
    if (running > 0) this.#running.set(peerId, running);
    else this.#running.delete(peerId);
  }
}

/** Whether the outcome of a relayed attempt is compatible with the peer reaching the backend. */
function showsPath(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'broken') return false;
  return outcome.kind !== 'not-run' || (outcome.reason !== 'no-relay' && outcome.reason !== 'unreachable');
}
