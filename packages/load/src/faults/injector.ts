import { configurationSchema, type Configuration } from '@canvasridge/domain';
import type { Random } from '@canvasridge/clock';
import type { DeploymentModel } from '../deployments/deployments.js';
import type { SimulatedFleet } from '../simulation/fleet.js';
import type { Fault } from './schedule.js';

/** What the injector did, as far as the checker needs it. */
export interface InjectionLog {
  /** Engines whose machine is leaving, with the time at which the emulated platform was told so. */
  readonly leavingEngines: Map<string, number>;
  /** Number of requests still running when a planned stop ended their process. */
  requestsCutByPlannedStops: number;
  plannedStops: number;
  /** Nodes that were killed or paused; their callers may see broken connections. */
  readonly disturbedNodes: Set<string>;
  /** Offset added to the index of each requested adapter, which makes other adapters popular. */
  popularityShift: number;
}

/** How long a node that is stopped as planned still accepts requests. */
const LINGER_MS = 3000;
const STOP_TIMEOUT_MS = 60_000;
const RESTART_DELAY_MS = 2000;
const LOSSY_DATAGRAM_LOSS = 0.25;
const LOSSY_DATAGRAM_DUPLICATION = 0.2;
const LATE_ORDER_FRACTION = 0.3;
/** Maximum delay of a late order. */
const MAX_ORDER_DELAY_MS = 2400;
const FAILED_LOAD_FRACTION = 0.6;
/** Time between the publications of two racing operators. */
const RACE_DELAY_MS = 30;
/** Offset by which a popularity jump moves demand to other adapters. */
const POPULARITY_STEP = 97;
/** Number of adapters that get a further version in each new configuration. */
const CHANGED_ADAPTERS = 5;

/** Injects the faults of a schedule into a simulated fleet. */
export class FaultInjector {
  readonly log: InjectionLog = {
    leavingEngines: new Map(),
    requestsCutByPlannedStops: 0,
    plannedStops: 0,
    disturbedNodes: new Set(),
    popularityShift: 0,
  };
  readonly #fleet: SimulatedFleet;
  readonly #model: DeploymentModel;
  readonly #random: Random;
  #configurationChanges = 0;

  readonly #lingerMs: number;

  /** @param lingerMs linger time of planned stops; with 0 they do not wait for running requests either */
  constructor(fleet: SimulatedFleet, model: DeploymentModel, random: Random, lingerMs = LINGER_MS) {
    this.#lingerMs = lingerMs;
    this.#fleet = fleet;
    this.#model = model;
    this.#random = random;
  }

  schedule(faults: readonly Fault[]): void {
    const { clock } = this.#fleet;
    for (const fault of faults) {
      clock.setTimer(fault.atMs - clock.now(), () => {
        this.#fleet.standin.telemetry.event('info', `fault.${fault.kind}`, fault.targets.join(','), {
          lastsMs: Math.round(fault.lastsMs),
        });
        const undo = this.#apply(fault);
        if (undo !== undefined) clock.setTimer(fault.lastsMs, undo);
      });
    }
  }

  /** Applies a fault; returns the function that ends it, if it has to be ended. */
  #apply(fault: Fault): (() => void) | undefined {
    const [first = '', second = ''] = fault.targets;
    const { standin, network, engineFaults } = this.#fleet;
    switch (fault.kind) {
      case 'kill-node':
        return this.#killNode(first);
      case 'pause-node':
        return this.#pauseNode(first);
      case 'stop-node':
        return this.#stopNode(first);
      case 'partition':
        return this.#cutBetween(fault.targets, this.#otherNodes(fault.targets), true);
      case 'one-way-cut':
        return this.#cutBetween([first], [second], false);
      case 'cut-engine':
        return this.#cutBetween([first], [second], true);
      case 'restart-engine':
        standin.engines.get(first)?.restart();
        return undefined;
      case 'engine-down':
        return this.#engineDown(first);
      case 'failing-loads':
        return this.#failLoads(first);
      case 'late-orders':
        engineFaults.lateOrderFraction = LATE_ORDER_FRACTION;
        engineFaults.maxDelayMs = MAX_ORDER_DELAY_MS;
        return () => (engineFaults.lateOrderFraction = 0);
      case 'lossy-network':
        Object.assign(network.behaviour, {
          datagramLoss: LOSSY_DATAGRAM_LOSS,
          datagramDuplication: LOSSY_DATAGRAM_DUPLICATION,
        });
        return () => Object.assign(network.behaviour, { datagramLoss: 0.01, datagramDuplication: 0.01 });
      case 'configuration-down':
        standin.configuration.setMode('down');
        return () => standin.configuration.setMode('up');
      case 'configuration-stale':
        standin.configuration.setMode('stale');
        return () => standin.configuration.setMode('up');
      case 'publish-revision':
        this.#publishNext();
        return undefined;
      case 'operator-race':
        this.#raceOperators();
        return undefined;
      case 'engine-leaves':
        return this.#engineLeaves(first);
      case 'service-breaks':
        for (const service of standin.services) service.breakAfterExecution = this.#random.next() < 0.5;
        return () => {
          for (const service of standin.services) service.breakAfterExecution = false;
        };
      case 'popularity-jump':
        this.log.popularityShift += POPULARITY_STEP;
        return undefined;
    }
  }

  #otherNodes(side: readonly string[]): string[] {
    return this.#model.nodes.map((node) => node.id).filter((id) => !side.includes(id));
  }

  #killNode(id: string): () => void {
    this.log.disturbedNodes.add(id);
    this.#fleet.kill(id);
    return () => this.#restart(id);
  }

  #restart(id: string): void {
    const spec = this.#model.nodes.find((node) => node.id === id);
    if (spec !== undefined && this.#fleet.process(id) === undefined) this.#fleet.startNode(spec);
  }

  #pauseNode(id: string): (() => void) | undefined {
    const process = this.#fleet.process(id);
    if (process === undefined) return undefined;
    this.log.disturbedNodes.add(id);
    process.host.clock.pause();
    return () => process.host.clock.resume();
  }

  #stopNode(id: string): undefined {
    const { clock } = this.#fleet;
    this.log.plannedStops += 1;
    void this.#fleet
      .stopPlanned(id, this.#lingerMs, this.#lingerMs === 0 ? 0 : STOP_TIMEOUT_MS)
      .then((running) => {
        this.log.requestsCutByPlannedStops += running;
        clock.setTimer(RESTART_DELAY_MS, () => this.#restart(id));
      });
    return undefined;
  }

  #cutBetween(left: readonly string[], right: readonly string[], bothWays: boolean): () => void {
    const { network } = this.#fleet;
    const links = left.flatMap((a) => right.map((b) => [a, b] as const));
    for (const [a, b] of links) {
      network.cut(a, b);
      if (bothWays) network.cut(b, a);
    }
    return () => {
      for (const [a, b] of links) {
        network.heal(a, b);
        if (bothWays) network.heal(b, a);
      }
    };
  }

  #engineDown(id: string): (() => void) | undefined {
    const engine = this.#fleet.standin.engines.get(id);
    if (engine === undefined) return undefined;
    engine.reachable = false;
    return () => (engine.reachable = true);
  }

  #failLoads(id: string): (() => void) | undefined {
    const engine = this.#fleet.standin.engines.get(id);
    if (engine === undefined) return undefined;
    engine.behaviour.loadFailureShare = FAILED_LOAD_FRACTION;
    return () => (engine.behaviour.loadFailureShare = 0);
  }

  /** Marks the engine's machine as leaving in the machine list. It stays so until the end of the run. */
  #engineLeaves(id: string): () => void {
    const { machines } = this.#fleet.standin;
    const machine = this.#model.configuration.engines.find((engine) => engine.id === id)?.machine ?? '';
    this.log.leavingEngines.set(id, this.#fleet.clock.now());
    machines.set({ id: machine, role: 'back-end', state: 'leaving' });
    return () => undefined;
  }

  /** The configuration in force, in which some adapters get a further version. */
  #nextConfiguration(): Configuration {
    this.#configurationChanges += 1;
    const inForce = this.#fleet
      .processes()
      .find((process) => process.node.follower.store.index !== undefined);
    const { adapters, ...rest } =
      inForce?.node.follower.store.index?.configuration ?? this.#model.configuration;
    const first = (this.#configurationChanges * CHANGED_ADAPTERS) % adapters.length;
    const changedAdapters = adapters.map((adapter, index) =>
      index >= first && index < first + CHANGED_ADAPTERS
        ? { ...adapter, versions: [...adapter.versions, `v${this.#configurationChanges + 1}`] }
        : adapter,
    );
    return configurationSchema.parse({ ...rest, adapters: changedAdapters });
  }

  #publishNext(): void {
    this.#fleet.publish(this.#nextConfiguration());
  }

  /**
   * Two operators plan and confirm against the same state; the revision published second has to be rejected.
   */
  #raceOperators(): void {
    const base = this.#fleet.headInForce();
    const confirmedAt = this.#fleet.publications;
    this.#publishNext();
    const competing = this.#nextConfiguration();
    this.#fleet.clock.setTimer(RACE_DELAY_MS, () => {
      this.#fleet.publish(competing, base, confirmedAt);
    });
  }
}
