import type { Clock } from '@canvasridge/clock';
import { keepRunning, type Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from '../cluster/cluster.js';
import type { PathState } from './service-path.js';
import { peerRecords } from '../cluster/peer-records.js';

export interface FleetPathsOptions {
  readonly clock: Clock;
  readonly cluster: Pick<
    Cluster,
    'selfId' | 'serving' | 'changed' | 'changes' | 'publishRecord' | 'publishedRecords' | 'processToken'
  >;
  /** Services to which this node can open no connection. */
  readonly ownImpaired: () => readonly string[];
  /** Resolves to whether another node is seen to reach an impaired service while this one does not. */
  readonly isOwnLoss: (service: string) => Promise<boolean>;
  /** Called with a service that another node says it can't reach. */
  readonly onPeerLost: (service: string) => void;
  readonly telemetry: Telemetry;
}

const PATHS_KEY = 'paths';
/** A path that works again is announced only when it has worked for this long, as cuts may come in series. */
const REGAINED_AFTER_MS = 2000;
/** Changes of members are frequent in a large fleet and read at most this often. */
const MIN_UPDATE_MS = 200;
const IDLE_MS = 5000;
/** Pause before an impaired service is looked at again; doubles up to the maximum. */
const ASK_AGAIN_MS = 400;
const MAX_ASK_AGAIN_MS = 1600;

/**
 * Which nodes reach which services: each node publishes those that it can't reach while another node can. What no
 * other node reaches either is a service that is silent or down, and distinguishes no node from another.
 */
export class FleetPaths {
  readonly #options: FleetPathsOptions;
  #published: readonly string[] = [];
  /** Impaired services that are this node's own loss. */
  readonly #confirmed = new Set<string>();
  readonly #asking = new Set<string>();
  #stopped = false;
  #lostByMember: ReadonlyMap<string, ReadonlySet<string>> = new Map();
  #readAtChange = -1;
  /** The losses of other nodes that were passed on. */
  #passedOn: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  constructor(options: FleetPathsOptions) {
    this.#options = options;
  }

  /** Call it when the state of a path of this node has changed. */
  ownPathChanged(service: string, state: PathState): void {
    if (state !== 'working') {
      keepRunning(this.#options, 'path-loss', () => this.#confirm(service));
      return;
    }
    this.#confirmed.delete(service);
    this.#options.clock.setTimer(REGAINED_AFTER_MS, () => this.#publish());
  }

  /** Whether this node has published that it can't reach a service that another node reaches. */
  isCutOff(service: string): boolean {
    return this.#published.includes(service);
  }

  start(): void {
    keepRunning(this.#options, 'fleet-paths', () => this.#run());
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    const { clock, cluster } = this.#options;
    while (!this.#stopped) {
      await cluster.changed.waitUpTo(clock, IDLE_MS);
      this.#passOnLosses();
      await clock.sleep(MIN_UPDATE_MS);
    }
  }

  /** Passes on what other nodes have lost since the last call. */
  #passOnLosses(): void {
    const before = this.#passedOn;
    const lost = this.#lost();
    if (lost === before) return;
    this.#passedOn = lost;
    for (const [id, services] of lost) {
      if (id === this.#options.cluster.selfId) continue;
      for (const service of services)
        if (before.get(id)?.has(service) !== true) this.#options.onPeerLost(service);
    }
  }

  hasLost(memberId: string, service: string): boolean {
    return this.#lost().get(memberId)?.has(service) === true;
  }

  /** Whether a member lacks a path that any other serving member has. */
  isImpaired(memberId: string): boolean {
    const services = this.#lost().get(memberId);
    if (services === undefined) return false;
    return [...services].some((service) => this.isReachedByAnyBut(memberId, service));
  }

  /** Whether any serving member besides this one may reach a service. */
  isReachedByAnyBut(memberId: string, service: string): boolean {
    return this.#options.cluster.serving().some(({ id }) => id !== memberId && !this.hasLost(id, service));
  }

  /** The members without those that can't reach a service, unless that leaves none. */
  reaching(service: string, memberIds: readonly string[]): readonly string[] {
    if (this.#lost().size === 0) return memberIds;
    const reaching = memberIds.filter((id) => !this.hasLost(id, service));
    return reaching.length === 0 ? memberIds : reaching;
  }

  /** Publishes an impaired service once that is seen to be this node's own loss. */
  async #confirm(service: string): Promise<void> {
    if (this.#asking.has(service) || this.#confirmed.has(service)) return;
    this.#asking.add(service);
    try {
      await this.#confirmWhileImpaired(service);
    } finally {
      this.#asking.delete(service);
    }
  }

  async #confirmWhileImpaired(service: string): Promise<void> {
    const { clock, isOwnLoss, telemetry } = this.#options;
    for (let rounds = 1; !this.#stopped && this.#isImpairedHere(service); rounds += 1) {
      if ((await isOwnLoss(service)) && this.#isImpairedHere(service)) {
        this.#confirmed.add(service);
        telemetry.event('warn', 'paths.cut-off', service, { rounds });
        this.#publish();
        return;
      }
      await clock.sleep(Math.min(ASK_AGAIN_MS * 2 ** (rounds - 1), MAX_ASK_AGAIN_MS));
    }
  }

  #isImpairedHere(service: string): boolean {
    return this.#options.ownImpaired().includes(service);
  }

  #publish(): void {
    const { cluster } = this.#options;
    const lost = [...this.#confirmed].filter((service) => this.#isImpairedHere(service)).sort();
    if (lost.join() === this.#published.join()) return;
    this.#published = lost;
    cluster.publishRecord(PATHS_KEY, lost.length === 0 ? null : { token: cluster.processToken, lost });
  }

  #lost(): ReadonlyMap<string, ReadonlySet<string>> {
    const { cluster } = this.#options;
    if (this.#readAtChange === cluster.changes) return this.#lostByMember;
    this.#readAtChange = cluster.changes;
    const lost = new Map<string, ReadonlySet<string>>();
    for (const { member, value } of cluster.publishedRecords(peerRecords.paths, PATHS_KEY))
      lost.set(member.id, new Set(value.lost));
    if (this.#published.length > 0) lost.set(cluster.selfId, new Set(this.#published));
    if (lost.size > 0 || this.#lostByMember.size > 0) this.#lostByMember = lost;
    return this.#lostByMember;
  }
}
