import {
  CompletedRuns,
  InterruptionHistory,
  QuarantineList,
  TRIAL_DELAYS_MS,
  TrialVotes,
  UnresolvedRuns,
  type LiftedQuarantine,
  type QuarantineGate,
  type QuarantinedRequest,
} from '@canvasridge/admission';
import type { Clock, Random } from '@canvasridge/clock';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import { CompletedRunReporter } from './completed-run-reporter.js';
import { REPORT_TIMEOUT_MS, type HomeReporter } from './home-reporter.js';
import { interruptionReporter, type KnownInterruption } from './interruption-reporter.js';
import { PartCrashes } from './part-crashes.js';
import type { PeerCaller } from './peer-caller.js';
import {
  formatQuarantined,
  parseQuarantined,
  TRIAL_METHOD,
  trialReply,
  type CompletedRun,
  type EndedWellParams,
  type InterruptedParams,
  type InterruptedReply,
  type TrialParams,
  type TrialReply,
} from './quarantine-protocol.js';
import { UnreadLog } from '../peers/unread-log.js';
import { TrialRequests } from './trial-requests.js';

export {
  COMPLETED_METHOD,
  ENDED_WELL_METHOD,
  INTERRUPTED_METHOD,
  TRIAL_METHOD,
  type EndedWellParams,
  type InterruptedParams,
  type InterruptedReply,
  type TrialParams,
} from './quarantine-protocol.js';

/** The part of the cluster that the quarantine uses. */
export type QuarantineCluster = Pick<
  Cluster,
  'selfId' | 'candidates' | 'serving' | 'peerAddress' | 'processOf' | 'publishQuarantine' | 'quarantines'
>;

export interface FleetQuarantineOptions {
  readonly clock: Clock;
  readonly random: Pick<Random, 'next'>;
  readonly cluster: QuarantineCluster;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
  /** Total time in milliseconds for which this machine was suspended, as far as noticed; none if absent. */
  readonly suspendedMs?: () => number;
}

/**
 * Number of different backends that must crash during a request before it is quarantined. Two are not enough:
 * where engines crash together, a request that is retried at once can hit a second crash by chance, and
 * would be served at its third attempt.
 */
const QUARANTINE_THRESHOLD = 3;
/**
 * Number of crashed backends from which a request is a suspect: a node that sees it complete reports that,
 * and interruptions of runs sent before do not count. Without that, a request that is sent again and again, such as a status
 * query, would sooner or later have been running on three backends when they crashed for other reasons.
 */
const SUSPECT_THRESHOLD = 2;
/** As many as fit into one gossip datagram beside a full list of quarantined requests. */
const MAX_SUSPECTS = 12;
/** Nodes that count interruptions: one may fail and another be cut off before the third interruption. */
const HOME_COUNT = 3;
/** Name by which nodes are ranked as homes. */
const HOMES_RANKING = 'quarantine';
/**
 * A request is not retried before a home has answered or this time has passed. Without the wait, the crash
 * of the third backend was followed by that of a fourth: the request was already on its way again when the
 * homes had counted. A home answers within about 10 ms.
 */
const HOME_ANSWER_WAIT_MS = 60;
/** While trials go on, any of them may release the request, also before this node may ask for the next one. */
const MAX_RETRY_DURING_TRIALS_MS = 3000;
/** Time from the start of a trial until all nodes know that it completed, in most cases. */
const TRIAL_RESULT_MS = 1000;
/**
 * Homes publish their list again after this time, so that a node that starts receives ages that are no older
 * than this.
 */
const REPUBLISH_MS = 60_000;
/** Serialised content of empty lists: no requests quarantined, suspected, or released early. */
const EMPTY_CONTENT = JSON.stringify([[], [], []]);

/**
 * Requests that all nodes keep from backends. A client may retry a request at any node, so the nodes report
 * interruptions to a few home nodes. A home that has counted enough of them publishes the request, and each
 * node that receives this enforces it by itself, whatever happens to the home. A node that becomes a home
 * receives the recent interruptions from all nodes, and publishes what it knows.
 *
 * Nodes remember which runs were completed, and report them to the homes once the request is suspected or
 * quarantined. If the runs that crashed were sent before a completed one, the request is released again. As no
 * run may be left to complete, the homes allow a few trials: single runs of a quarantined request.
 */
export class FleetQuarantine implements QuarantineGate {
  /** Finds the parts of prompts that crash backends. They are listed, tried and released here as requests are. */
  readonly parts: PartCrashes;
  readonly #options: FleetQuarantineOptions;
  readonly #log: UnreadLog;
  readonly #reporter: HomeReporter<KnownInterruption>;
  readonly #completedReporter: CompletedRunReporter;
  readonly #completedRuns = new CompletedRuns();
  readonly #unresolvedRuns: UnresolvedRuns;
  /** What this node has counted as a home. */
  #history: InterruptionHistory;
  readonly #list: QuarantineList;
  readonly #votes: TrialVotes;
  readonly #trials: TrialRequests;
  #actsAsHome = false;
  /** The time at which this node learned of each suspect, by fingerprint. */
  #suspects: ReadonlyMap<string, number> = new Map();
  /** The value of `suspendedMs` when it was last read, and the time at which it last rose. */
  #suspendedMs = 0;
  #suspensionMs = -Infinity;
  #published = EMPTY_CONTENT;
  #publishedMs = -Infinity;

  constructor(options: FleetQuarantineOptions) {
    this.#options = options;
    const { clock, cluster, network } = options;
    this.#history = new InterruptionHistory(clock);
    this.#unresolvedRuns = new UnresolvedRuns(clock);
    this.#list = new QuarantineList(clock);
    this.#votes = new TrialVotes(clock);
    this.#trials = new TrialRequests({
      clock,
      telemetry: options.telemetry,
      homes: () => this.#homes(),
      askHome: (id, params) => this.#askForTrial(id, params),
    });
    const { telemetry } = options;
    const shared = { clock, cluster, network, telemetry, otherHomes: () => this.#otherHomes() };
    this.#completedReporter = new CompletedRunReporter({
      ...shared,
      suspectSinceMs: (fingerprint) => this.#suspects.get(fingerprint),
    });
    this.#log = new UnreadLog(options.telemetry);
    this.#reporter = interruptionReporter({
      ...shared,
      log: this.#log,
      completedRuns: this.#completedRuns,
      onQuarantined: (quarantined) => {
        for (const text of quarantined) this.#add({ ...parseQuarantined(text), ageMs: 0 }, 'peer');
      },
    });
    this.parts = new PartCrashes({
      ...shared,
      random: options.random,
      quarantine: {
        isListed: (key) => this.#list.episode(key) !== undefined,
        quarantine: (key, crashes) => this.#quarantine(key, crashes, 0),
        release: (key, begunAgoMs) => this.#release(key, begunAgoMs),
      },
      isHome: () => this.#isHome(),
      lastSuspensionMs: () => this.#lastSuspensionMs(),
    });
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

  retryAfterMs(fingerprint: string): number {
    const remainingMs = this.#list.remainingMs(fingerprint) ?? 0;
    const waitMs = this.#trials.waitMs(fingerprint);
    const knownMs = waitMs + TRIAL_RESULT_MS;
    const areTrialsGoingOn = waitMs <= Math.max(...TRIAL_DELAYS_MS);
    return Math.min(remainingMs, areTrialsGoingOn ? Math.min(knownMs, MAX_RETRY_DURING_TRIALS_MS) : knownMs);
  }

  isTrialDue(fingerprint: string): boolean {
    return this.#trials.waitMs(fingerprint) === 0;
  }

  requestTrial(fingerprint: string): Promise<boolean> {
    return this.#trials.request(fingerprint);
  }

  async interrupted(fingerprint: string, backendId: string, runMs = 0): Promise<void> {
    const { clock } = this.#options;
    const sentMs = clock.now() - runMs;
    this.#setHome(this.#isHome());
    if (this.#actsAsHome) this.#count(fingerprint, backendId, sentMs, 0);
    const reported = this.#reporter.report({ fingerprint, backend: backendId, sentMs, atMs: clock.now() });
    // A home has already counted its own observation, so it need not wait for the other homes.
    if (this.#actsAsHome) return;
    await Promise.race([reported, clock.sleep(HOME_ANSWER_WAIT_MS)]);
  }

  unresolved(fingerprint: string, backendId: string, runMs: number): void {
    this.#unresolvedRuns.record({ fingerprint, backendId, sentMs: this.#options.clock.now() - runMs });
  }

  /**
   * Call it when a backend is leaving, or is not listed any more. One that did not announce that it leaves has crashed,
   * which interrupted the runs whose end this node did not see.
   */
  handleDeparture(backendId: string, state: 'draining' | 'gone'): void {
    this.parts.handleDeparture(backendId, state);
    const runs = this.#unresolvedRuns.take(backendId);
    if (state === 'draining') return;
    const { clock, telemetry } = this.#options;
    const nowMs = clock.now();
    for (const { fingerprint, sentMs } of runs) {
      telemetry.event('info', 'request.unseen-crash', fingerprint, { backend: backendId });
      runInBackground(telemetry, 'unseen-crash-report', () =>
        this.interrupted(fingerprint, backendId, nowMs - sentMs),
      );
    }
  }

  completed(fingerprint: string, runMs = 0): void {
    const sentMs = this.#options.clock.now() - runMs;
    // The time of a suspension is not in `runMs`: the run was sent earlier, perhaps before the interrupted ones.
    if (sentMs < this.#lastSuspensionMs()) return;
    this.#completedRuns.record(fingerprint, sentMs);
    this.#forgetReported(fingerprint, sentMs);
    if (this.#suspects.has(fingerprint) || this.#list.episode(fingerprint) !== undefined)
      this.#reportCompleted(fingerprint);
  }

  /** Answers a node that knows of a completed run of a request. */
  answerEndedWell({ fingerprint, sentAgoMs }: EndedWellParams): true {
    const { clock } = this.#options;
    if (sentAgoMs !== undefined) {
      // A message that waited during a suspension of this machine is older than it says.
      const isDelayed = clock.now() < this.#lastSuspensionMs() + REPORT_TIMEOUT_MS;
      if (!isDelayed) this.#recordCompleted({ fingerprint, sentAgoMs });
    }
    // Without its age, the run may have been sent before the request was quarantined.
    else if (this.#list.episode(fingerprint) === undefined) this.#history.forget(fingerprint);
    return true;
  }

  /** Answers a node that considers this one a home. */
  answer({ interruptions, completed = [] }: InterruptedParams): InterruptedReply {
    this.#setHome(this.#isHome());
    if (!this.#actsAsHome) return null;
    const nowMs = this.#options.clock.now();
    for (const run of completed) this.#recordCompleted(run);
    for (const { fingerprint, backend, sentAgoMs = 0, agoMs = Infinity } of interruptions)
      this.#count(fingerprint, backend, nowMs - sentAgoMs, agoMs);
    this.#reporter.learn(
      interruptions.map(({ fingerprint, backend, sentAgoMs = 0, agoMs = 0 }) => ({
        fingerprint,
        backend,
        sentMs: nowMs - sentAgoMs,
        atMs: nowMs - agoMs,
      })),
    );
    return interruptions.flatMap(({ fingerprint }) => {
      const episode = this.#list.episode(fingerprint);
      return episode === undefined ? [] : [formatQuarantined(fingerprint, episode)];
    });
  }

  /** Answers a node that wants to run a quarantined request on trial. */
  answerTrial({ fingerprint, episode }: TrialParams): TrialReply {
    this.#setHome(this.#isHome());
    if (!this.#actsAsHome) return null;
    const ageMs = this.#list.ageMs(fingerprint) ?? 0;
    const wasServed = this.#history.hasCompleted(fingerprint) || this.parts.mayTry(fingerprint, ageMs);
    const vote = this.#votes.vote(fingerprint, episode, wasServed);
    if (vote?.isGranted === true)
      this.#options.telemetry.event('info', 'quarantine.trial-vote', fingerprint, { episode });
    return vote ?? null;
  }

  /** Call it when another node has published its list, and about once a second. */
  update(): void {
    this.#setHome(this.#isHome());
    const suspects = this.#history.suspects(SUSPECT_THRESHOLD);
    const published = [...this.#options.cluster.quarantines()];
    for (const { lifted } of published) for (const request of lifted) this.#lift(request, 'peer');
    for (const list of published) {
      for (const request of list.quarantined) this.#add(request, 'peer');
      suspects.push(...list.suspects);
    }
    const nowMs = this.#options.clock.now();
    this.#suspects = new Map(suspects.map((suspect) => [suspect, this.#suspects.get(suspect) ?? nowMs]));
    for (const fingerprint of new Set([...suspects, ...this.#list.fingerprints]))
      this.#reportCompleted(fingerprint);
    this.#trials.retain((fingerprint) => this.#list.episode(fingerprint) !== undefined);
    if (this.#actsAsHome) this.#publish();
    // Reports that a home does not answer are repeated with the next update.
    runInBackground(this.#options.telemetry, 'home-report', () =>
      Promise.all(this.#reporter.reportToHomes()),
    );
    this.parts.update();
  }

  /** When this machine's last suspension was noticed; -Infinity if none was. */
  #lastSuspensionMs(): number {
    const suspendedMs = this.#options.suspendedMs?.() ?? 0;
    if (suspendedMs > this.#suspendedMs) this.#suspensionMs = this.#options.clock.now();
    this.#suspendedMs = suspendedMs;
    return this.#suspensionMs;
  }

  #setHome(isHome: boolean): void {
    if (isHome === this.#actsAsHome) return;
    this.#actsAsHome = isHome;
    // A node that is no home does not receive which requests completed, so each period as home starts with an
    // empty history.
    this.#history = new InterruptionHistory(this.#options.clock);
    this.#votes.clear();
    if (!isHome) return;
    const nowMs = this.#options.clock.now();
    for (const { fingerprint, backend, sentMs, atMs } of this.#reporter.observations)
      this.#count(fingerprint, backend, sentMs, nowMs - atMs);
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

  /** Tells the homes, and this node if it is one, of the last completed run of a request. */
  #reportCompleted(fingerprint: string): void {
    const sentMs = this.#completedRuns.lastSentMs(fingerprint);
    if (sentMs === undefined) return;
    if (this.#actsAsHome)
      this.#recordCompleted({ fingerprint, sentAgoMs: this.#options.clock.now() - sentMs });
    this.#completedReporter.report(fingerprint, sentMs);
  }

  /** Counts a completed run at a home, and releases the request if too few interruptions are left. */
  #recordCompleted({ fingerprint, sentAgoMs }: CompletedRun): void {
    const wasCounted = this.#history.count(fingerprint) >= QUARANTINE_THRESHOLD;
    const sentMs = this.#options.clock.now() - sentAgoMs;
    this.#history.recordCompleted(fingerprint, sentMs);
    this.#forgetReported(fingerprint, sentMs);
    const episode = this.#list.episode(fingerprint);
    if (episode === undefined || !wasCounted) return;
    if (this.#history.count(fingerprint) >= QUARANTINE_THRESHOLD) return;
    this.#release(fingerprint, sentAgoMs);
  }

  /** Forgets reported interruptions of runs that were sent up to `sentMs`, which have another cause. */
  #forgetReported(fingerprint: string, sentMs: number): void {
    this.#reporter.forget((known) => known.fingerprint === fingerprint && known.sentMs <= sentMs);
  }

  #release(fingerprint: string, sentAgoMs: number): void {
    const episode = this.#list.episode(fingerprint);
    if (episode === undefined) return;
    this.#lift({ fingerprint, episode }, 'completed', sentAgoMs);
    this.#publish();
  }

  /** @param agoMs time since the crash; Infinity if unknown */
  #count(fingerprint: string, backend: string, sentMs: number, agoMs: number): void {
    const completedMs = this.#completedRuns.lastSentMs(fingerprint);
    if (completedMs !== undefined) this.#history.recordCompleted(fingerprint, completedMs);
    if (this.#history.record(fingerprint, backend, sentMs) < QUARANTINE_THRESHOLD) return;
    this.#quarantine(fingerprint, QUARANTINE_THRESHOLD, agoMs);
  }

  /**
   * Quarantines a request as a home that has counted its crashes.
   * @param backends number of different backends that crashed
   */
  #quarantine(fingerprint: string, backends: number, agoMs: number): void {
    const episode = this.#list.episode(fingerprint) ?? this.#list.nextEpisode(fingerprint);
    // A request that was listed before may have had its trials: crashes that follow are not those of a new quarantine.
    const ageMs = Math.max(agoMs, this.#list.ageMs(fingerprint) ?? 0);
    this.#votes.open({ fingerprint, episode, homes: this.#homes().length, ageMs });
    if (this.#list.episode(fingerprint) !== undefined) return;
    this.#add({ fingerprint, ageMs: 0, episode }, 'counted', backends);
    this.#publish();
  }

  #add(request: QuarantinedRequest, from: 'counted' | 'peer', backends?: number): void {
    if (!this.#list.add(request, from === 'peer')) return;
    const { fingerprint, ageMs, episode = 1 } = request;
    this.#trials.open(fingerprint, episode, ageMs);
    this.#votes.follow(fingerprint, episode);
    const remainingMs = this.#list.remainingMs(request.fingerprint);
    this.#options.telemetry.event('warn', 'request.quarantined', request.fingerprint, {
      from,
      backends,
      episode: request.episode ?? 1,
      remainingMs: remainingMs === undefined ? undefined : Math.round(remainingMs),
    });
  }

  async #askForTrial(id: string, params: TrialParams): Promise<TrialReply | undefined> {
    const { cluster, network } = this.#options;
    if (id === cluster.selfId) return this.answerTrial(params);
    const address = cluster.peerAddress(id);
    if (address === undefined) return undefined;
    const reply = await network.to(address).call(TRIAL_METHOD, params, REPORT_TIMEOUT_MS);
    if (reply === undefined) return undefined;
    return this.#log.read(trialReply, 'peer.answer-unread', address, reply);
  }

  /** @param sentAgoMs age of the completed run that shows another cause of the interruptions */
  #lift(request: LiftedQuarantine, from: 'completed' | 'peer', sentAgoMs?: number): void {
    if (!this.#list.lift(request)) return;
    this.parts.released(request.fingerprint);
    if (from === 'peer') {
      // This node may not have received the completed run by which another home released the request.
      this.#history.forget(request.fingerprint);
      this.#forgetReported(request.fingerprint, this.#options.clock.now());
    }
    this.#options.telemetry.event('warn', 'request.released', request.fingerprint, {
      from,
      episode: request.episode,
      sentAgoMs: sentAgoMs === undefined ? undefined : Math.round(sentAgoMs),
    });
  }

  /** Publishes the lists if they changed, or if they were last published long ago. */
  #publish(): void {
    const { clock, cluster } = this.#options;
    const quarantined = this.#list.entries();
    const suspects = this.#history
      .suspects(SUSPECT_THRESHOLD)
      .filter((fingerprint) => this.#list.episode(fingerprint) === undefined)
      .slice(0, MAX_SUSPECTS);
    const lifted = this.#list.lifted();
    // The comparison keeps the lists apart: a request that moves from suspected to quarantined is a change.
    const content = JSON.stringify([
      quarantined.map(({ fingerprint, episode }) => [fingerprint, episode]),
      suspects,
      lifted,
    ]);
    const isDue = content !== EMPTY_CONTENT && clock.now() - this.#publishedMs >= REPUBLISH_MS;
    if (content === this.#published && !isDue) return;
    this.#published = content;
    this.#publishedMs = clock.now();
    cluster.publishQuarantine({ quarantined, suspects, lifted });
  }
}
