import {
  PartEvidence,
  UnresolvedRuns,
  type PartCrash,
  type PartCrashGate,
  type PartRun,
} from '@canvasridge/admission';
import type { Clock, Random } from '@canvasridge/clock';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from './cluster.js';
import { HomeReporter, REPORT_TIMEOUT_MS, type Observation, type Reported } from './home-reporter.js';
import {
  PART_CRASHES_METHOD,
  PART_RUNS_METHOD,
  readPartCrashes,
  readPartRuns,
  readRuns,
  runsMessage,
  runsOf,
  type PartCrashesParams,
  type RunsMessage,
} from './part-crash-protocol.js';
import type { PeerCaller } from './peer-caller.js';

/** The quarantine, as far as parts of prompts need it. The key of a part stands for it as a fingerprint does for a request. */
export interface PartQuarantine {
  isListed(part: string): boolean;
  /** Quarantines a part, as a home that has counted its crashes. */
  quarantine(part: string, crashes: number): void;
  /** Ends the quarantine of a part as a run of it went well that began its response this long ago, in milliseconds. */
  release(part: string, begunAgoMs: number): void;
}

export interface PartCrashesOptions {
  readonly clock: Clock;
  readonly random: Pick<Random, 'next'>;
  readonly cluster: Pick<Cluster, 'selfId' | 'serving' | 'peerAddress' | 'processOf'>;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
  readonly quarantine: PartQuarantine;
  readonly isHome: () => boolean;
  /** Ids of the home nodes except this one. */
  readonly otherHomes: () => readonly string[];
  /** When this machine's last suspension was noticed; -Infinity if none was. */
  readonly lastSuspensionMs: () => number;
}

/** A crash as it is reported to homes. */
type ObservedCrash = PartCrash & Observation;

/**
 * Different backends that must crash, of separate causes, during runs of a part before it is quarantined; and how many
 * quarantine all parts that have them, when several parts have been in the same crashes.
 */
const LIMITS = { threshold: 3, certain: 5 } as const;
/**
 * Crashes observed by this node that it keeps and reports to each node that becomes a home: what ran on several engines
 * that crashed, with a few parts for each run.
 */
const MAX_LOCAL_CRASHES = 512;
/** A request is not sent again before a home has answered or this time has passed. */
const HOME_ANSWER_WAIT_MS = 60;
/** Nodes that a home asks for runs that went well: a part that many requests share is known to any of them. */
const NODES_ASKED = 16;
const ASK_TIMEOUT_MS = 200;
/** Pause between two rounds of questions, while parts are suspected. */
const ASK_INTERVAL_MS = 250;
/** A part is suspected for this long after its last crash. */
const SUSPECTED_MS = 5000;
/** As many as homes quarantine at a time. */
const MAX_SUSPECTS = 32;
/** Runs that are under way when a part is quarantined may crash their backends for this long. */
const UNDER_WAY_MS = 900;
/** Homes are told of runs of one quarantined part at most this often. */
const TELL_INTERVAL_MS = 200;

/**
 * Finds the parts of prompts that crash backends, over all nodes. Nodes report crashes to the home nodes of the
 * quarantine. A home that suspects a part asks other nodes which runs went well, and only then decides: a part that is in
 * every prompt is interrupted by each crash, and what clears it is known elsewhere first.
 */
export class PartCrashes implements PartCrashGate {
  readonly #options: PartCrashesOptions;
  readonly #evidence: PartEvidence;
  readonly #reporter: HomeReporter<ObservedCrash>;
  readonly #unresolved: UnresolvedRuns;
  /** Services of the backends with unresolved runs, by backend. */
  readonly #services = new Map<string, string>();
  /** Parts that this home, or another one, has quarantined: a run that began its response later than this releases them. */
  readonly #judged = new Map<string, number>();
  /** By part: when homes were last told of a run of it. */
  readonly #toldMs = new Map<string, number>();
  #isJudging = false;

  constructor(options: PartCrashesOptions) {
    this.#options = options;
    const { clock } = options;
    this.#evidence = new PartEvidence(clock);
    this.#unresolved = new UnresolvedRuns(clock);
    this.#reporter = new HomeReporter({
      ...options,
      method: PART_CRASHES_METHOD,
      maxReports: MAX_LOCAL_CRASHES,
      params: (reports) => this.#params(reports),
      isSame: (a, b) => a.part === b.part && a.backendId === b.backendId,
      onReply: () => true,
    });
  }

  async crashed({ parts, backendId, service }: PartRun): Promise<void> {
    this.#resolveCrashed(backendId);
    await this.#reportCrash(parts, backendId, service, this.#options.clock.now());
  }

  unresolved({ parts, backendId, service }: PartRun): void {
    // If its backend crashed, it did so when the run ended, or later.
    const sentMs = this.#options.clock.now();
    for (const part of parts) this.#unresolved.record({ fingerprint: part, backendId, sentMs });
    if (parts.length > 0) this.#services.set(backendId, service);
  }

  ran({ parts, service }: PartRun, begunForMs: number): void {
    const { clock, quarantine, lastSuspensionMs } = this.#options;
    const begunMs = clock.now() - begunForMs;
    // The time of a suspension is not in `begunForMs`.
    if (begunMs < lastSuspensionMs()) return;
    this.#evidence.recordRun(parts, service, begunMs);
    for (const part of parts) if (quarantine.isListed(part)) this.#tellRun(part, begunForMs);
  }

  /** Call it when a backend is leaving, or is not listed any more. One that did not announce that it leaves has crashed. */
  handleDeparture(backendId: string, state: 'draining' | 'gone'): void {
    if (state === 'gone') this.#resolveCrashed(backendId);
    else this.#unresolved.take(backendId);
    this.#services.delete(backendId);
  }

  /**
   * Whether a trial of a quarantined part may release it: it was served at some time, and no trial has crashed its backend.
   * @param ageMs time since the part was quarantined
   */
  mayTry(part: string, ageMs: number): boolean {
    const hasTrialCrashed = this.#evidence.lastCrashAgoMs(part) < ageMs - UNDER_WAY_MS;
    return this.#evidence.hasRun(part) && !hasTrialCrashed;
  }

  /** Call it when the quarantine of a part has ended early: its crashes until now had another cause. */
  released(part: string): void {
    this.#judged.delete(part);
    this.#evidence.forget(part);
    this.#reporter.forget((crash) => crash.part === part);
  }

  /** Call it about once a second. */
  update(): void {
    for (const part of this.#judged.keys())
      if (!this.#options.quarantine.isListed(part)) this.#judged.delete(part);
    // Reports that a home does not answer are repeated with the next update.
    runInBackground(this.#options.telemetry, 'home-report', () =>
      Promise.all(this.#reporter.reportToHomes()),
    );
  }

  /** Answers a node that considers this one a home. */
  answerCrashes(params: unknown): true | null {
    const { clock, isHome, lastSuspensionMs } = this.#options;
    const read = readPartCrashes(params);
    if (read === undefined || !isHome()) return null;
    const nowMs = clock.now();
    const crashes = read.crashes.map(([part, backendId, service, agoMs]) => {
      const crashedMs = nowMs - agoMs;
      return { part, backendId, service, crashedMs, atMs: crashedMs };
    });
    for (const crash of crashes) this.#evidence.recordCrash(crash);
    this.#reporter.learn(crashes);
    // A message that waited during a suspension of this machine is older than it says.
    if (nowMs >= lastSuspensionMs() + REPORT_TIMEOUT_MS) this.#evidence.merge(runsOf(read.runs, nowMs));
    // Which crashes the other home has counted is not known, but they were before.
    for (const part of read.quarantined ?? []) this.#quarantine(part, nowMs);
    this.#releaseCleared();
    this.#judgeIfSuspected();
    return true;
  }

  /** Answers a home that asks which runs of these parts went well. */
  answerRuns(params: unknown): RunsMessage | null {
    const read = readPartRuns(params);
    return read === undefined ? null : this.#runs(read.parts);
  }

  /** Counts unresolved runs on a backend that is found to have crashed. */
  #resolveCrashed(backendId: string): void {
    const service = this.#services.get(backendId);
    if (service === undefined) return;
    this.#services.delete(backendId);
    for (const { fingerprint, sentMs } of this.#unresolved.take(backendId))
      runInBackground(this.#options.telemetry, 'unseen-crash-report', () =>
        this.#reportCrash([fingerprint], backendId, service, sentMs),
      );
  }

  async #reportCrash(
    parts: readonly string[],
    backendId: string,
    service: string,
    crashedMs: number,
  ): Promise<void> {
    const { clock, isHome } = this.#options;
    let reported = Promise.resolve();
    for (const part of parts) {
      const crash = { part, backendId, service, crashedMs };
      this.#evidence.recordCrash(crash);
      reported = this.#reporter.report({ ...crash, atMs: clock.now() });
    }
    if (parts.length === 0) return;
    if (isHome()) this.#judgeIfSuspected();
    else await Promise.race([reported, clock.sleep(HOME_ANSWER_WAIT_MS)]);
  }

  #params(reports: readonly Reported<ObservedCrash>[]): PartCrashesParams {
    const nowMs = this.#options.clock.now();
    const crashes = reports.map(({ observation }): PartCrashesParams['crashes'][number] => {
      const { part, backendId, service, crashedMs } = observation;
      return [part, backendId, service, Math.max(0, nowMs - crashedMs)];
    });
    return { crashes, runs: this.#runs([...new Set(reports.map(({ observation }) => observation.part))]) };
  }

  #runs(parts: readonly string[]): RunsMessage {
    const { clock, lastSuspensionMs } = this.#options;
    return runsMessage(this.#evidence.runs(parts, lastSuspensionMs()), clock.now());
  }

  /** Tells the homes, and this node if it is one, of a run of a quarantined part that went well. */
  #tellRun(part: string, begunForMs: number): void {
    const { clock, isHome, telemetry } = this.#options;
    const nowMs = clock.now();
    if (nowMs - (this.#toldMs.get(part) ?? -Infinity) < TELL_INTERVAL_MS) return;
    this.#toldMs.delete(part);
    this.#toldMs.set(part, nowMs);
    const [oldest] = this.#toldMs.keys();
    if (this.#toldMs.size > MAX_SUSPECTS && oldest !== undefined) this.#toldMs.delete(oldest);
    telemetry.event('info', 'part.ran', part, { begunForMs: Math.round(begunForMs) });
    if (isHome()) this.#releaseCleared();
    this.#tellHomes({ crashes: [], runs: this.#runs([part]) });
  }

  #tellHomes(params: PartCrashesParams): void {
    const { cluster, network, otherHomes, telemetry } = this.#options;
    for (const id of otherHomes()) {
      const address = cluster.peerAddress(id);
      if (address !== undefined)
        runInBackground(telemetry, 'part-report', () =>
          network.to(address).call(PART_CRASHES_METHOD, params, REPORT_TIMEOUT_MS),
        );
    }
  }

  /** Releases quarantined parts of which a run that began after their crashes went well. */
  #releaseCleared(): void {
    const { quarantine, clock } = this.#options;
    for (const [part, sinceMs] of [...this.#judged]) {
      const begunMs = this.#evidence.runs([part], sinceMs).parts.get(part);
      if (begunMs === undefined) continue;
      this.#judged.delete(part);
      quarantine.release(part, clock.now() - begunMs);
    }
  }

  #suspects(): string[] {
    return this.#evidence
      .suspects(LIMITS.threshold)
      .filter((part) => !this.#judged.has(part) && this.#evidence.lastCrashAgoMs(part) <= SUSPECTED_MS)
      .slice(0, MAX_SUSPECTS);
  }

  #judgeIfSuspected(): void {
    if (this.#isJudging || this.#suspects().length === 0) return;
    this.#isJudging = true;
    runInBackground(this.#options.telemetry, 'part-judgement', () =>
      this.#judge().finally(() => (this.#isJudging = false)),
    );
  }

  /** Asks and decides as long as any part is suspected. */
  async #judge(): Promise<void> {
    const { clock, isHome } = this.#options;
    for (let suspects = this.#suspects(); suspects.length > 0 && isHome(); suspects = this.#suspects()) {
      if (await this.#learnRuns(suspects)) this.#decide(suspects);
      await clock.sleep(ASK_INTERVAL_MS);
    }
  }

  /** Quarantines the parts that crash their backends, here and at the other homes, which vote on trials as well. */
  #decide(asked: readonly string[]): void {
    const { telemetry } = this.#options;
    const culprits = this.#evidence.culprits(LIMITS, this.#judged.keys(), asked);
    if (culprits.length === 0) return;
    for (const part of culprits) {
      telemetry.event('warn', 'part.crashes', part, {
        crashes: this.#evidence.crashes(part),
        separate: this.#evidence.separateCrashes(part),
        hasRun: this.#evidence.hasRun(part),
        lastCrashAgoMs: Math.round(this.#evidence.lastCrashAgoMs(part)),
      });
      this.#quarantine(part, this.#options.clock.now() - this.#evidence.lastCrashAgoMs(part));
    }
    this.#tellHomes({ crashes: [], runs: this.#runs(culprits), quarantined: culprits });
  }

  #quarantine(part: string, sinceMs: number): void {
    this.#judged.set(part, sinceMs);
    this.#options.quarantine.quarantine(part, this.#evidence.crashes(part));
  }

  /** Asks other nodes for runs that went well; resolves to whether any answered, or there is none to ask. */
  async #learnRuns(parts: readonly string[]): Promise<boolean> {
    const { clock, cluster, network, random } = this.#options;
    const others = cluster.serving().filter(({ id }) => id !== cluster.selfId);
    const asked = sample(others, NODES_ASKED, random).flatMap(({ id }) => cluster.peerAddress(id) ?? []);
    const answers = await Promise.all(
      asked.map((address) => network.to(address).call(PART_RUNS_METHOD, { parts }, ASK_TIMEOUT_MS)),
    );
    const known = answers.flatMap((answer) => readRuns(answer, clock.now()) ?? []);
    for (const runs of known) this.#evidence.merge(runs);
    return asked.length === 0 || known.length > 0;
  }
}

/** Up to `count` of the items, drawn at random. */
function sample<T>(items: readonly T[], count: number, random: Pick<Random, 'next'>): T[] {
  return items
    .map((item) => ({ item, order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, count)
    .map(({ item }) => item);
}
