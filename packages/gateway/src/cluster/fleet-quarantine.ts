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

/** Tells a home of a request that a backend has run to an end. */
export const ENDED_WELL_METHOD = 'quarantine.ended-well';

/** Params of {@link ENDED_WELL_METHOD}. */
export interface EndedWellParams {
  readonly fingerprint: string;
}

/** A backend broke off under a request. */
export interface Interruption {
  readonly fingerprint: string;
  readonly backend: string;
}

/** Params of {@link INTERRUPTED_METHOD}. */
export interface InterruptedParams {
  readonly interruptions: readonly Interruption[];
}

/** Those of the requests that are kept from backends now; null from a node that does not take itself for a home. */
export type InterruptedReply = readonly string[] | null;

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
/**
 * From so many on a request is suspected: whoever sees it end well says so. One that many send again and again, such as a
 * question for a state, would otherwise be under every backend's end some time.
 */
const SUSPECTED_BACKENDS = 2;
/** As many as fit beside a full list into one gossip datagram. */
const MOST_SUSPECTS = 12;
/** Nodes that count: one may end, and one be cut off, before the third interruption. */
const HOMES = 3;
const HOMES_POOL = 'quarantine';
/** All that ran on an engine that ended is told together. */
const GATHER_MS = 5;
/**
 * A request is not sent again before a home has answered, or for so long: without that the third backend's end was followed by
 * a fourth, as the request was on its way again when the homes had counted. A home answers within some 10 ms.
 */
const VERDICT_MS = 60;
/** A home in reach answers in a few milliseconds; one that does not is told again a second later. */
const TELL_TIMEOUT_MS = 500;
/**
 * Interruptions seen by this node that it tells to each node that becomes a home: what ran on two engines that ended.
 * That takes some 12 KB, once, when a home changes.
 */
const MOST_OWN = 192;
/** Homes publish their list anew after this time, so that a node that starts gets ages that are not older. */
const REPUBLISH_MS = 60_000;
/** Content of a list of no requests, quarantined or suspected. */
const NOTHING_PUBLISHED = JSON.stringify([[], []]);

/**
 * Requests that are kept from backends by all nodes. A request comes again at any node, so the nodes tell a few homes of
 * interruptions; a home that has counted enough publishes the request, and each node that hears of it keeps it for itself,
 * whatever becomes of the home. A node that becomes a home is told by all what they saw of late, and publishes what it knows.
 */
export class FleetQuarantine implements QuarantineGate {
  readonly #options: FleetQuarantineOptions;
  /** What this node has counted as a home. */
  #ledger: InterruptionLedger;
  readonly #list: QuarantineList;
  /** Those seen last come last. */
  #own: OwnInterruption[] = [];
  /** Resolves when a home has answered what was gathered. */
  #telling: Promise<void> | undefined;
  #home = false;
  #suspects: ReadonlySet<string> = new Set();
  #published = NOTHING_PUBLISHED;
  #publishedMs = -Infinity;

  constructor(options: FleetQuarantineOptions) {
    this.#options = options;
    this.#ledger = new InterruptionLedger(options.clock);
    this.#list = new QuarantineList(options.clock);
  }

  get isEmpty(): boolean {
    return this.#list.size === 0 && this.#suspects.size === 0;
  }

  get size(): number {
    return this.#list.size;
  }

  remainingMs(fingerprint: string): number | undefined {
    return this.#list.remainingMs(fingerprint);
  }

  async interrupted(fingerprint: string, backendId: string): Promise<void> {
    const { clock } = this.#options;
    this.#beHome(this.#isHome());
    if (this.#home) this.#count(fingerprint, backendId);
    this.#own.push({ fingerprint, backend: backendId, atMs: clock.now(), knownTo: new Set() });
    this.#own = this.#own.slice(-MOST_OWN);
    this.#telling ??= this.#tellSoon();
    // What the homes count is counted here as well.
    if (this.#home) return;
    await Promise.race([this.#telling, clock.sleep(VERDICT_MS)]);
  }

  endedWell(fingerprint: string): void {
    if (!this.#suspects.has(fingerprint)) return;
    this.#suspects = new Set([...this.#suspects].filter((suspect) => suspect !== fingerprint));
    this.#own = this.#own.filter((interruption) => interruption.fingerprint !== fingerprint);
    const { cluster, network } = this.#options;
    const params: EndedWellParams = { fingerprint };
    this.answerEndedWell(params);
    for (const id of this.#otherHomes()) {
      const address = cluster.peerAddress(id);
      if (address !== undefined) void network.to(address).call(ENDED_WELL_METHOD, params, TELL_TIMEOUT_MS);
    }
  }

  answerEndedWell({ fingerprint }: EndedWellParams): true {
    this.#ledger.forget(fingerprint);
    return true;
  }

  /** Answers a node that takes this one for a home. */
  answer({ interruptions }: InterruptedParams): InterruptedReply {
    this.#beHome(this.#isHome());
    if (!this.#home) return null;
    for (const { fingerprint, backend } of interruptions) this.#count(fingerprint, backend);
    return interruptions
      .map(({ fingerprint }) => fingerprint)
      .filter((fingerprint) => this.#list.remainingMs(fingerprint) !== undefined);
  }

  /** To be called when another node has published its list, and about once a second. */
  update(): void {
    this.#beHome(this.#isHome());
    const suspects = this.#ledger.suspects(SUSPECTED_BACKENDS);
    for (const published of this.#options.cluster.quarantines()) {
      for (const request of published.quarantined) this.#add(request, 'peer');
      suspects.push(...published.suspects);
    }
    this.#suspects = new Set(suspects);
    if (this.#home) this.#publish();
    // What a home does not answer is told again with the next update.
    void Promise.allSettled(this.#tellHomes());
  }

  #beHome(isHome: boolean): void {
    if (isHome === this.#home) return;
    this.#home = isHome;
    // Who is no home is not told which requests ended well, so each time as home begins anew.
    this.#ledger = new InterruptionLedger(this.#options.clock);
    if (isHome) for (const { fingerprint, backend } of this.#own) this.#count(fingerprint, backend);
  }

  #isHome(): boolean {
    return this.#homes().includes(this.#options.cluster.selfId);
  }

  #otherHomes(): readonly string[] {
    return this.#homes().filter((id) => id !== this.#options.cluster.selfId);
  }

  #homes(): readonly string[] {
    return this.#options.cluster.candidates(HOMES_POOL).slice(0, HOMES);
  }

  async #tellSoon(): Promise<void> {
    await this.#options.clock.sleep(GATHER_MS);
    this.#telling = undefined;
    await Promise.any(this.#tellHomes()).catch(() => undefined);
  }

  /** Each resolves when its home has answered, and rejects if it has not. */
  #tellHomes(): Promise<void>[] {
    const nowMs = this.#options.clock.now();
    this.#own = this.#own.filter(({ atMs }) => nowMs - atMs <= INTERRUPTION_MS);
    return this.#otherHomes().map((id) => this.#tell(id));
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
    const reply = (await network.to(address).call(INTERRUPTED_METHOD, params, TELL_TIMEOUT_MS)) as
      InterruptedReply | undefined;
    if (reply === undefined || reply === null) throw new Error(`${id} does not count`);
    for (const { knownTo } of news) knownTo.add(home);
    for (const fingerprint of reply) this.#add({ fingerprint, ageMs: 0 }, 'peer');
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
    const quarantined = this.#list.entries();
    const suspects = this.#ledger.suspects(SUSPECTED_BACKENDS).slice(0, MOST_SUSPECTS);
    const fingerprints = quarantined.map(({ fingerprint }) => fingerprint);
    // Which of the two lists a request is on counts: one that moves from suspects to quarantined is news.
    const content = JSON.stringify([fingerprints, suspects]);
    const isDue = content !== NOTHING_PUBLISHED && clock.now() - this.#publishedMs >= REPUBLISH_MS;
    if (content === this.#published && !isDue) return;
    this.#published = content;
    this.#publishedMs = clock.now();
    cluster.publishQuarantine({ quarantined, suspects });
  }
}
