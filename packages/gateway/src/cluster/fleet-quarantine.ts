import {
  INTERRUPTION_MS,
  InterruptionLedger,
  QuarantineList,
  type QuarantineGate,
  type QuarantinedRequest,
} from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import type { PeerCaller } from './peer-caller.js';

/** Tells a home under which requests backends broke off. */
export const INTERRUPTED_METHOD = 'quarantine.interrupted';

/** A backend broke off under a request. */
export interface Interruption {
  readonly fingerprint: string;
  readonly backend: string;
}

/** Params of {@link INTERRUPTED_METHOD}. */
export interface InterruptedParams {
  readonly interruptions: readonly Interruption[];
}

/** What is seen of the fleet. */
export type QuarantineSight = Pick<
  Cluster,
  'selfId' | 'candidates' | 'peerAddress' | 'processOf' | 'publishQuarantine' | 'quarantines'
>;

/** An interruption that this node saw, and the processes of homes that know of it. */
interface OwnInterruption extends Interruption {
  readonly atMs: number;
  readonly knownTo: Set<string>;
}

export interface FleetQuarantineOptions {
  readonly clock: Clock;
  readonly cluster: QuarantineSight;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
}

/**
 * Different backends under which a request is interrupted before it is quarantined. Two are not enough: where engines end
 * together, a request that is sent again at once meets a second end by chance, and would be served at its third send.
 */
const ENOUGH_BACKENDS = 3;
/** Nodes that count: one may end, and one be cut off, before the third interruption. */
const HOMES = 3;
const HOMES_POOL = 'quarantine';
/** All that ran on an engine that ended is told together. */
const GATHER_MS = 20;
/** A home in reach answers in a few milliseconds; one that does not is told again a second later. */
const TELL_TIMEOUT_MS = 500;
/**
 * Interruptions seen by this node that it tells to each node that becomes a home: what ran on two engines that ended.
 * That takes some 12 KB, once, when a home changes.
 */
const MOST_OWN = 192;
/** Homes publish their list anew after this time, so that a node that starts gets ages that are not older. */
const REPUBLISH_MS = 60_000;

/**
 * Requests that are kept from backends by all nodes. A request comes again at any node, so the nodes tell a few homes of
 * interruptions; a home that has counted enough publishes the request, and each node that hears of it keeps it for itself,
 * whatever becomes of the home. A node that becomes a home is told by all what they saw of late, and publishes what it knows.
 */
export class FleetQuarantine implements QuarantineGate {
  readonly #options: FleetQuarantineOptions;
  readonly #ledger: InterruptionLedger;
  readonly #list: QuarantineList;
  /** Those seen last come last. */
  #own: OwnInterruption[] = [];
  #telling = false;
  #published = '';
  #publishedMs = -Infinity;

  constructor(options: FleetQuarantineOptions) {
    this.#options = options;
    this.#ledger = new InterruptionLedger(options.clock);
    this.#list = new QuarantineList(options.clock);
  }

  get isEmpty(): boolean {
    return this.#list.size === 0;
  }

  get size(): number {
    return this.#list.size;
  }

  remainingMs(fingerprint: string): number | undefined {
    return this.#list.remainingMs(fingerprint);
  }

  interrupted(fingerprint: string, backendId: string): void {
    // Counted here as well: a node that is cut off from all homes still learns from what it sees itself.
    this.#count(fingerprint, backendId);
    this.#own.push({ fingerprint, backend: backendId, atMs: this.#options.clock.now(), knownTo: new Set() });
    this.#own = this.#own.slice(-MOST_OWN);
    if (this.#telling) return;
    this.#telling = true;
    this.#options.clock.setTimer(GATHER_MS, () => {
      this.#telling = false;
      this.#tellHomes();
    });
  }

  /** Answers a node that takes this one for a home; any node counts, as rankings differ while members come and go. */
  answer({ interruptions }: InterruptedParams): true {
    for (const { fingerprint, backend } of interruptions) this.#count(fingerprint, backend);
    return true;
  }

  /** To be called when another node has published its list, and about once a second. */
  update(): void {
    for (const list of this.#options.cluster.quarantines()) {
      for (const request of list) this.#add(request, 'peer');
    }
    if (this.#homes().includes(this.#options.cluster.selfId)) this.#publish();
    this.#tellHomes();
  }

  #homes(): readonly string[] {
    return this.#options.cluster.candidates(HOMES_POOL).slice(0, HOMES);
  }

  #tellHomes(): void {
    const { cluster, clock } = this.#options;
    this.#own = this.#own.filter(({ atMs }) => clock.now() - atMs <= INTERRUPTION_MS);
    for (const id of this.#homes()) {
      if (id !== cluster.selfId) void this.#tell(id);
    }
  }

  /** Tells a home what its process has not been told, or may not have heard. */
  async #tell(id: string): Promise<void> {
    const { cluster, network } = this.#options;
    const address = cluster.peerAddress(id);
    const home = cluster.processOf(id)?.token;
    if (address === undefined || home === undefined) return;
    const news = this.#own.filter(({ knownTo }) => !knownTo.has(home));
    if (news.length === 0) return;
    const params: InterruptedParams = {
      interruptions: news.map(({ fingerprint, backend }) => ({ fingerprint, backend })),
    };
    const heard = await network.to(address).call(INTERRUPTED_METHOD, params, TELL_TIMEOUT_MS);
    if (heard === true) for (const { knownTo } of news) knownTo.add(home);
  }

  #count(fingerprint: string, backend: string): void {
    if (this.#list.remainingMs(fingerprint) !== undefined) return;
    if (this.#ledger.note(fingerprint, backend) < ENOUGH_BACKENDS) return;
    this.#ledger.forget(fingerprint);
    this.#add({ fingerprint, ageMs: 0 }, 'counted');
    this.#publish();
  }

  #add(request: QuarantinedRequest, from: 'counted' | 'peer'): void {
    if (!this.#list.add(request)) return;
    const remainingMs = this.#list.remainingMs(request.fingerprint);
    this.#options.telemetry.event('warn', 'request.quarantined', request.fingerprint, {
      from,
      backends: from === 'counted' ? ENOUGH_BACKENDS : undefined,
      remainingMs: remainingMs === undefined ? undefined : Math.round(remainingMs),
    });
  }

  /** Tells all nodes, if there is anything that they were not told, or if they were told long ago. */
  #publish(): void {
    const { clock, cluster } = this.#options;
    const entries = this.#list.entries();
    const content = entries.map(({ fingerprint }) => fingerprint).join(' ');
    const isDue = content !== '' && clock.now() - this.#publishedMs >= REPUBLISH_MS;
    if (content === this.#published && !isDue) return;
    this.#published = content;
    this.#publishedMs = clock.now();
    cluster.publishQuarantine(entries);
  }
}
