import type { Clock, ContinuousClock, Random } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import type { EngineControl } from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import type { BackendConnections } from '../backends/backend-connections.js';
import type { Cluster } from '../cluster/cluster.js';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { PeerCaller } from '../cluster/peer-caller.js';
import { reachesParams, type ReachesReply } from '../relay/relay-protocol.js';
import { Relays } from '../relay/relays.js';
import { BackendHops } from '../request/backend-hops.js';
import { BackendPaths } from './backend-paths.js';
import { BackendResponsiveness } from './backend-responsiveness.js';
import { FleetPaths } from './fleet-paths.js';
import { GuardedControl } from './guarded-control.js';
import type { PathProbe } from './http-probe.js';
import { OwnLoss } from './own-loss.js';
import { PathRecordingControl } from './path-recording-control.js';
import type { PathState } from './service-path.js';

export interface BackendAccessOptions {
  readonly clock: Clock;
  /** Also advances while the machine is suspended, so that what was known of paths is then out of date. */
  readonly fleetClock: ContinuousClock;
  readonly random: Random;
  readonly fleet: FleetState;
  readonly cluster: Cluster;
  readonly network: PeerCaller;
  readonly connections: BackendConnections;
  readonly control: EngineControl;
  readonly probe: PathProbe;
  /** This node's share of limits that apply to the whole fleet, from 0 to 1. */
  readonly fleetShare: () => number;
  readonly isStopping: () => boolean;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/** The ways of a node to backends: what it knows of its own paths and of those of others, and the relays. */
export class BackendAccess {
  readonly paths: BackendPaths;
  readonly fleetPaths: FleetPaths;
  readonly responsiveness: BackendResponsiveness;
  readonly hops: BackendHops;
  readonly control: EngineControl;
  readonly #options: BackendAccessOptions;
  readonly #relays: Relays;
  readonly #ownLoss: OwnLoss;

  constructor(options: BackendAccessOptions) {
    this.#options = options;
    const { fleetClock, random, fleet, cluster, network, probe, telemetry } = options;
    this.paths = new BackendPaths({
      clock: fleetClock,
      random,
      fleet,
      probe,
      telemetry,
      onChange: (service, state) => this.#onPathChanged(service, state),
    });
    this.responsiveness = new BackendResponsiveness(options);
    this.fleetPaths = new FleetPaths({
      clock: fleetClock,
      cluster,
      ownImpaired: () => this.paths.impaired(),
      isOwnLoss: (service) => this.#ownLoss.isSeen(service),
      onPeerLost: (service) => this.paths.hint(service),
      telemetry,
    });
    this.#relays = new Relays({
      clock: fleetClock,
      random,
      cluster,
      network,
      paths: this.fleetPaths,
      telemetry,
    });
    this.#ownLoss = new OwnLoss({ clock: fleetClock, paths: this.paths, relays: this.#relays });
    this.hops = new BackendHops({ ...options, paths: this.paths, relays: this.#relays });
    const recording = new PathRecordingControl(options.control, this.paths, telemetry);
    this.control = new GuardedControl(recording, telemetry);
  }

  start(): void {
    this.fleetPaths.start();
  }

  stop(): void {
    this.paths.stop();
    this.fleetPaths.stop();
    this.#relays.close();
  }

  /** Answers another node that looks for one to relay its requests. */
  async answerReaches(params: unknown): Promise<ReachesReply | null> {
    const { data } = reachesParams.safeParse(params);
    if (data === undefined) return null;
    const { fleet, isStopping } = this.#options;
    const backend = data.backend === undefined ? undefined : fleet.backend(data.backend);
    if (isStopping() || (data.backend !== undefined && backend === undefined)) return { reaches: false };
    const answer =
      backend === undefined ? this.paths.reaches(data.service) : this.responsiveness.answers(backend);
    return { reaches: await answer };
  }

  /** Connections that were open when a path was lost may have ended without a word. */
  #onPathChanged(service: string, state: PathState): void {
    const { metrics, fleet, connections } = this.#options;
    metrics.pathsImpaired.set({ service }, state === 'working' ? 0 : 1);
    if (state === 'lost') for (const { id } of fleet.backendsOf(service)) connections.dropIdle(id);
    this.fleetPaths.ownPathChanged(service, state);
  }
}
