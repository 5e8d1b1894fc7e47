import type { Clock } from '@canvasridge/clock';
import type { BackendDescription, BackendService } from '@canvasridge/serving';
import type { BackendConnections } from '../backends/backend-connections.js';
import type { BackendPaths } from '../paths/backend-paths.js';
import type { Relays } from '../relay/relays.js';
import { isReusable, type BackendHop } from './backend-hop.js';

export interface BackendHopsOptions {
  readonly clock: Clock;
  readonly connections: BackendConnections;
  readonly paths: Pick<BackendPaths, 'state' | 'beginWait' | 'endWait' | 'received'>;
  readonly relays: Pick<Relays, 'open'>;
  /** This node's share of limits that apply to the whole fleet, from 0 to 1. */
  readonly fleetShare: () => number;
}

/** Opens the way to a backend: a connection of this node's own or, if it has lost its path, another node. */
export class BackendHops {
  readonly #options: BackendHopsOptions;

  constructor(options: BackendHopsOptions) {
    this.#options = options;
  }

  /**
   * @param excludedRelays nodes that could not relay this request
   * @param hasFailedDirectly whether the request was tried without a relay since the path was impaired
   * @returns the reason if there is no way: the node uses all connections that it may open, or it has lost its
   *   path and no other node relays the request
   */
  async open(
    backend: BackendDescription,
    service: BackendService,
    excludedRelays: ReadonlySet<string>,
    hasFailedDirectly: boolean,
  ): Promise<BackendHop | 'no-connection' | 'no-path'> {
    const { connections, paths } = this.#options;
    const state = paths.state(service.name);
    if (state === 'working' || (state === 'limited' && connections.hasIdle(backend.id)))
      return this.openDirect(backend, service) ?? 'no-connection';
    const relayed = await this.#openRelayed(backend, excludedRelays, false);
    if (relayed !== undefined) return relayed;
    return hasFailedDirectly ? 'no-path' : (this.openDirect(backend, service) ?? 'no-connection');
  }

  /**
   * Opens the way of a request that waits for a silent backend to another one: over a new connection, as idle ones may
   * be silent, too, or through a node that the backend answers now. The connection is open when it resolves.
   *
   * @param excludedRelays nodes that could not relay this request
   */
  async openForTakeover(
    backend: BackendDescription,
    service: BackendService,
    excludedRelays: ReadonlySet<string>,
  ): Promise<BackendHop | 'no-connection' | 'no-path' | 'unreachable'> {
    const hop =
      this.#options.paths.state(service.name) === 'working'
        ? (this.openDirect(backend, service, true) ?? 'no-connection')
        : ((await this.#openRelayed(backend, excludedRelays, true)) ?? 'no-path');
    if (typeof hop === 'string' || (await hop.connection.open())) return hop;
    hop.release({ kind: 'not-run', reason: hop.unreachable });
    return 'unreachable';
  }

  #openRelayed(
    backend: BackendDescription,
    excluded: ReadonlySet<string>,
    mustAnswer: boolean,
  ): Promise<BackendHop | undefined> {
    const { clock, connections, relays } = this.#options;
    const onReceived = (): void => connections.recordReceived(backend.id, clock.now());
    return relays.open(backend, excluded, onReceived, mustAnswer);
  }

  /**
   * A connection of this node's own; undefined if it already uses all that it may open.
   * @param isNew whether it has to be a new connection
   */
  openDirect(backend: BackendDescription, service: BackendService, isNew = false): BackendHop | undefined {
    const { clock, connections, paths, fleetShare } = this.#options;
    const connection = connections.acquire(backend, service.maxConnections, fleetShare(), isNew);
    if (connection === undefined) return undefined;
    paths.beginWait(service.name);
    return {
      connection,
      relay: undefined,
      headers: [],
      unreachable: 'unreachable',
      lostCause: 'connection-lost',
      failureOf: () => undefined,
      received: () => {
        connections.recordReceived(backend.id, clock.now());
        paths.received(service.name);
      },
      release: (outcome) => {
        paths.endWait(service.name);
        connections.release(backend.id, connection, isReusable(outcome));
      },
    };
  }
}
