import { INTERRUPTION_WINDOW_MS } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import { runLogged, type Telemetry } from '@canvasridge/telemetry';
import { anyTrue } from '../paths/any-true.js';
import type { Cluster } from './cluster.js';
import type { PeerCaller } from './peer-caller.js';

/** Something that this node observed or, as a home, was told of. */
export interface Observation {
  /** When this node learnt of it, in milliseconds. */
  readonly atMs: number;
}

/** An observation to be reported. */
export interface Reported<T extends Observation> {
  readonly observation: T;
  /** Whether this node made it itself. */
  readonly isOwn: boolean;
  /** The processes of home nodes that have received it. */
  readonly knownTo: Set<string>;
}

export interface HomeReporterOptions<T extends Observation> {
  readonly clock: Clock;
  readonly cluster: Pick<Cluster, 'peerAddress' | 'processOf'>;
  readonly network: PeerCaller;
  readonly telemetry: Pick<Telemetry, 'event'>;
  /** Ids of the home nodes except this one. */
  readonly otherHomes: () => readonly string[];
  /** The method that reports to a home, which answers null if it does not consider itself one. */
  readonly method: string;
  /** Params of a call of that method. */
  readonly params: (reports: readonly Reported<T>[]) => unknown;
  /** Whether two observations of different nodes are of the same event. */
  readonly isSame: (a: T, b: T) => boolean;
  /** Observations that are kept of this node, and as many of the others. */
  readonly maxReports: number;
  /** Called with what a home answers, other than null; returns whether that was valid. */
  readonly onReply: (reply: NonNullable<unknown>) => boolean;
}

/** All observations of one crash of an engine are reported in one message. */
const BATCH_DELAY_MS = 5;
/**
 * A reachable home answers in a few milliseconds; one that does not is sent the report again a second later.
 */
export const REPORT_TIMEOUT_MS = 500;
const TASK = 'home-report';

/**
 * Reports what this node observes to the home nodes, and again to each new one. A home also reports to each new home
 * what others reported to it, as the nodes that observed it may have ended.
 */
export class HomeReporter<T extends Observation> {
  readonly #options: HomeReporterOptions<T>;
  /** Oldest first. */
  #own: Reported<T>[] = [];
  /** What other nodes reported to this one as a home, oldest first. */
  #learnt: Reported<T>[] = [];
  /** Resolves when a home has answered the current batch. */
  #reporting: Promise<void> | undefined;

  constructor(options: HomeReporterOptions<T>) {
    this.#options = options;
  }

  /** Observations of this node that count, oldest first. */
  get observations(): readonly T[] {
    return this.#own.map(({ observation }) => observation);
  }

  /** Reports an observation; resolves when a home has answered, or all homes have failed to. */
  report(observation: T): Promise<void> {
    this.#own.push({ observation, isOwn: true, knownTo: new Set() });
    this.#own = this.#own.slice(-this.#options.maxReports);
    this.#reporting ??= this.#reportBatch();
    return this.#reporting;
  }

  /** Remembers what other nodes reported to this home; they reported it to the present homes, too. */
  learn(observations: readonly T[]): void {
    const { cluster, otherHomes, isSame, maxReports } = this.#options;
    const homes = otherHomes().flatMap((id) => cluster.processOf(id)?.token ?? []);
    for (const observation of observations) {
      if (this.#learnt.some((known) => isSame(known.observation, observation))) continue;
      this.#learnt.push({ observation, isOwn: false, knownTo: new Set(homes) });
    }
    this.#learnt = this.#learnt.slice(-maxReports);
  }

  /** Forgets observations that turned out to mean nothing. */
  forget(isMeaningless: (observation: T) => boolean): void {
    this.#own = this.#own.filter(({ observation }) => !isMeaningless(observation));
    this.#learnt = this.#learnt.filter(({ observation }) => !isMeaningless(observation));
  }

  /**
   * Reports to each home what its process has not confirmed. Each promise resolves to whether its home has
   * nothing left to confirm.
   */
  reportToHomes(): Promise<boolean>[] {
    const nowMs = this.#options.clock.now();
    const isRecent = ({ observation }: Reported<T>): boolean =>
      nowMs - observation.atMs <= INTERRUPTION_WINDOW_MS;
    this.#own = this.#own.filter(isRecent);
    this.#learnt = this.#learnt.filter(isRecent);
    return this.#options.otherHomes().map((id) => this.#reportTo(id));
  }

  async #reportBatch(): Promise<void> {
    await this.#options.clock.sleep(BATCH_DELAY_MS);
    this.#reporting = undefined;
    const { telemetry } = this.#options;
    await runLogged(telemetry, TASK, () => anyTrue(telemetry, TASK, this.reportToHomes()));
  }

  async #reportTo(id: string): Promise<boolean> {
    const { cluster, network, method, params, onReply } = this.#options;
    const address = cluster.peerAddress(id);
    const home = cluster.processOf(id)?.token;
    if (address === undefined || home === undefined) return true;
    const unconfirmed = [...this.#learnt, ...this.#own].filter(({ knownTo }) => !knownTo.has(home));
    if (unconfirmed.length === 0) return true;
    const reply = await network.to(address).call(method, params(unconfirmed), REPORT_TIMEOUT_MS);
    // Null: it does not consider itself a home.
    if (reply === undefined || reply === null || !onReply(reply)) return false;
    for (const { knownTo } of unconfirmed) knownTo.add(home);
    return true;
  }
}
