import {
  INTERRUPTION_WINDOW_MS,
  InterruptionHistory,
  QuarantineList,
  type QuarantineGate,
  type QuarantinedRequest,
} from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import type { PeerCaller } from './peer-caller.js';

/** Reports to a home node (one of the few that count crashes) the requests during which backends crashed. */
export const INTERRUPTED_METHOD = 'quarantine.interrupted';

/** Reports to a home node that a backend has completed a request. */
export const ENDED_WELL_METHOD = 'quarantine.ended-well';

/** Params of {@link ENDED_WELL_METHOD}. */
export interface EndedWellParams {
  readonly fingerprint: string;
}

/** A backend crashed while it ran a request: its connection was lost. */
export interface Interruption {
  readonly fingerprint: string;
  readonly backend: string;
}

/** Params of {@link INTERRUPTED_METHOD}. */
export interface InterruptedParams {
  readonly interruptions: readonly Interruption[];
}

/**
 * The fingerprints of those requests that are quarantined now; null from a node that does not consider itself
 * a home.
 */
export type InterruptedReply = readonly string[] | null;

/** The part of the cluster that the quarantine uses. */
export type QuarantineCluster = Pick<
  Cluster,
  'selfId' | 'candidates' | 'peerAddress' | 'processOf' | 'publishQuarantine' | 'quarantines'
>;

/** An interruption that this node observed, and the processes of home nodes that have received it. */
interface LocalInterruption extends Interruption {
  readonly atMs: number;
  readonly knownTo: Set<string>;
}

export interface FleetQuarantineOptions {
  readonly clock: Clock;
  readonly cluster: QuarantineCluster;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
}

/**
 * Number of different backends that must crash during a request before it is quarantined. Two are not enough:
 * where engines crash together, a request that is retried at once can hit a second crash by chance, and
 * would be served at its third attempt.
 */
const QUARANTINE_THRESHOLD = 3;
/**
 * Number of crashed backends from which a request is a suspect: a node that sees it complete reports that,
 * and its interruptions are forgotten. Without that, a request that is sent again and again, such as a status
 * query, would sooner or later have been running on three backends when they crashed for other reasons.
 */
const SUSPECT_THRESHOLD = 2;
/** As many as fit into one gossip datagram beside a full list of quarantined requests. */
const MAX_SUSPECTS = 12;
/** Nodes that count interruptions: one may fail and another be cut off before the third interruption. */
const HOME_COUNT = 3;
/** Name by which nodes are ranked as homes. */
const HOMES_RANKING = 'quarantine';
/** All interruptions by the crash of an engine are reported in one message. */
const BATCH_DELAY_MS = 5;
/**
 * A request is not retried before a home has answered or this time has passed. Without the wait, the crash
 * of the third backend was followed by that of a fourth: the request was already on its way again when the
 * homes had counted. A home answers within about 10 ms.
 */
const HOME_ANSWER_WAIT_MS = 60;
/**
 * A reachable home answers in a few milliseconds; one that does not is sent the report again a second later.
 */
const REPORT_TIMEOUT_MS = 500;
/**
 * Number of interruptions observed by this node that it keeps and reports to each node that becomes a home:
 * what ran on two engines that crashed. They take about 12 KB, once, when a home changes.
 */
const MAX_LOCAL_INTERRUPTIONS = 192;
/**
 * Homes publish their list again after this time, so that a node that starts receives ages that are no older
 * than this.
 */
const REPUBLISH_MS = 60_000;
/** Serialised content of an empty list: no requests quarantined or suspected. */
const EMPTY_CONTENT = JSON.stringify([[], []]);

/**
 * Requests that all nodes keep from backends. A client may retry a request at any node, so the nodes report
 * interruptions to a few home nodes. A home that has counted enough of them publishes the request, and each
 * node that receives this enforces it by itself, whatever happens to the home. A node that becomes a home
 * receives the recent interruptions from all nodes, and publishes what it knows.
 */
export class FleetQuarantine implements QuarantineGate {
  readonly #options: FleetQuarantineOptions;
  /** Interruptions that this node has counted as a home. */
  #history: InterruptionHistory;
  readonly #list: QuarantineList;
  /** Oldest first. */
  #localInterruptions: LocalInterruption[] = [];
  /** Resolves when a home has answered the current batch. */
  #reporting: Promise<void> | undefined;
  #actsAsHome = false;
  /** The time at which this node learned of each suspect, by fingerprint. */
  #suspects: ReadonlyMap<string, number> = new Map();
  #published = EMPTY_CONTENT;
  #publishedMs = -Infinity;

  constructor(options: FleetQuarantineOptions) {
    this.#options = options;
    this.#history = new InterruptionHistory(options.clock);
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
    this.#setHome(this.#isHome());
    if (this.#actsAsHome) this.#count(fingerprint, backendId);
    this.#localInterruptions.push({ fingerprint, backend: backendId, atMs: clock.now(), knownTo: new Set() });
    this.#localInterruptions = this.#localInterruptions.slice(-MAX_LOCAL_INTERRUPTIONS);
    this.#reporting ??= this.#reportBatch();
    // A home has already counted its own observation, so it need not wait for the other homes.
    if (this.#actsAsHome) return;
    await Promise.race([this.#reporting, clock.sleep(HOME_ANSWER_WAIT_MS)]);
  }

  completed(fingerprint: string, runMs = 0): void {
    const sinceMs = this.#suspects.get(fingerprint);
    const sentMs = this.#options.clock.now() - runMs;
    if (sinceMs === undefined || sentMs < sinceMs) return;
    this.#suspects = new Map([...this.#suspects].filter(([suspect]) => suspect !== fingerprint));
    this.#localInterruptions = this.#localInterruptions.filter(
      (interruption) => interruption.fingerprint !== fingerprint,
    );
    const { cluster, network } = this.#options;
    const params: EndedWellParams = { fingerprint };
    this.answerEndedWell(params);
    for (const id of this.#otherHomes()) {
      const address = cluster.peerAddress(id);
      if (address !== undefined) void network.to(address).call(ENDED_WELL_METHOD, params, REPORT_TIMEOUT_MS);
    }
  }

  answerEndedWell({ fingerprint }: EndedWellParams): true {
    this.#history.forget(fingerprint);
    return true;
  }

  /** Answers a node that considers this one a home. */
  answer({ interruptions }: InterruptedParams): InterruptedReply {
    this.#setHome(this.#isHome());
    if (!this.#actsAsHome) return null;
    for (const { fingerprint, backend } of interruptions) this.#count(fingerprint, backend);
    return interruptions
      .map(({ fingerprint }) => fingerprint)
      .filter((fingerprint) => this.#list.remainingMs(fingerprint) !== undefined);
  }

  /** Call it when another node has published its list, and about once a second. */
  update(): void {
    this.#setHome(this.#isHome());
    const suspects = this.#history.suspects(SUSPECT_THRESHOLD);
    for (const published of this.#options.cluster.quarantines()) {
      for (const request of published.quarantined) this.#add(request, 'peer');
      suspects.push(...published.suspects);
    }
    const nowMs = this.#options.clock.now();
    this.#suspects = new Map(suspects.map((suspect) => [suspect, this.#suspects.get(suspect) ?? nowMs]));
    if (this.#actsAsHome) this.#publish();
    // Reports that a home does not answer are repeated with the next update.
    void Promise.allSettled(this.#reportToHomes());
  }

  #setHome(isHome: boolean): void {
    if (isHome === this.#actsAsHome) return;
    this.#actsAsHome = isHome;
    // A node that is no home does not receive which requests completed, so each period as home starts with an
    // empty history.
    this.#history = new InterruptionHistory(this.#options.clock);
    if (isHome)
      for (const { fingerprint, backend } of this.#localInterruptions) this.#count(fingerprint, backend);
  }

  #isHome(): boolean {
    return this.#homes().includes(this.#options.cluster.selfId);
  }

  #otherHomes(): readonly string[] {
    return this.#homes().filter((id) => id !== this.#options.cluster.selfId);
  }

  #homes(): readonly string[] {
    return this.#options.cluster.candidates(HOMES_RANKING).slice(0, HOME_COUNT);
  }

  async #reportBatch(): Promise<void> {
    await this.#options.clock.sleep(BATCH_DELAY_MS);
    this.#reporting = undefined;
    await Promise.any(this.#reportToHomes()).catch(() => undefined);
  }

  /** Each promise resolves when its home has answered, and rejects if it has not. */
  #reportToHomes(): Promise<void>[] {
    const nowMs = this.#options.clock.now();
    this.#localInterruptions = this.#localInterruptions.filter(
      ({ atMs }) => nowMs - atMs <= INTERRUPTION_WINDOW_MS,
    );
    return this.#otherHomes().map((id) => this.#reportTo(id));
  }

  /** Sends a home the interruptions that its current process has not confirmed. */
  async #reportTo(id: string): Promise<void> {
    const { cluster, network } = this.#options;
    const address = cluster.peerAddress(id);
    const home = cluster.processOf(id)?.token;
    if (address === undefined || home === undefined) return;
    const unconfirmed = this.#localInterruptions.filter(({ knownTo }) => !knownTo.has(home));
    if (unconfirmed.length === 0) return;
    const params: InterruptedParams = {
      interruptions: unconfirmed.map(({ fingerprint, backend }) => ({ fingerprint, backend })),
    };
    const reply = (await network.to(address).call(INTERRUPTED_METHOD, params, REPORT_TIMEOUT_MS)) as
      InterruptedReply | undefined;
    if (reply === undefined || reply === null) throw new Error(`${id} is not a quarantine home`);
    for (const { knownTo } of unconfirmed) knownTo.add(home);
    for (const fingerprint of reply) this.#add({ fingerprint, ageMs: 0 }, 'peer');
  }

  #count(fingerprint: string, backend: string): void {
    if (this.#list.remainingMs(fingerprint) !== undefined) return;
    if (this.#history.record(fingerprint, backend) < QUARANTINE_THRESHOLD) return;
    this.#history.forget(fingerprint);
    this.#add({ fingerprint, ageMs: 0 }, 'counted');
    this.#publish();
  }

  #add(request: QuarantinedRequest, from: 'counted' | 'peer'): void {
    if (!this.#list.add(request)) return;
    const remainingMs = this.#list.remainingMs(request.fingerprint);
    this.#options.telemetry.event('warn', 'request.quarantined', request.fingerprint, {
      from,
      backends: from === 'counted' ? QUARANTINE_THRESHOLD : undefined,
      remainingMs: remainingMs === undefined ? undefined : Math.round(remainingMs),
    });
  }

  /** Publishes the lists if they changed, or if they were last published long ago. */
  #publish(): void {
    const { clock, cluster } = this.#options;
    const quarantined = this.#list.entries();
    const suspects = this.#history.suspects(SUSPECT_THRESHOLD).slice(0, MAX_SUSPECTS);
    const fingerprints = quarantined.map(({ fingerprint }) => fingerprint);
    // The comparison keeps the two lists apart: a request that moves from suspected to quarantined is a
    // change.
    const content = JSON.stringify([fingerprints, suspects]);
    const isDue = content !== EMPTY_CONTENT && clock.now() - this.#publishedMs >= REPUBLISH_MS;
    if (content === this.#published && !isDue) return;
    this.#published = content;
    this.#publishedMs = clock.now();
    cluster.publishQuarantine({ quarantined, suspects });
  }
}
