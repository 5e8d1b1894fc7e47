import type { Clock } from '@canvasridge/clock';

/** How long a crash counts against the parts of the prompts that were running. */
const CRASH_WINDOW_MS = 600_000;
/**
 * Crashes further apart than this have causes of their own even if nothing is served between them: a backend that
 * crashed together with the others is back by then.
 */
const COMMON_CAUSE_MS = 2000;
/** Runs of a service that are this close together are remembered as one. */
const RUN_SAMPLE_MS = 50;
/** Only crashes closer than {@link COMMON_CAUSE_MS} are told apart by runs, so older ones are not needed. */
const RUN_SAMPLE_WINDOW_MS = 15_000;
/** Nodes tell one another of runs this recent: homes ask within a second of a crash. */
const TOLD_RUNS_MS = 6000;
/** Some 100 bytes each. A part that is served all the time stays among them. */
const MAX_PARTS = 4096;
/** What ran on several engines that crashed, with a few parts for each run. */
const MAX_CRASHED_PARTS = 1024;
const MAX_CRASHED_BACKENDS = 512;

/** A backend crashed during a run whose prompt had this part, before or just after its response began. */
export interface PartCrash {
  readonly part: string;
  /** Identifies one start of a backend's process. */
  readonly backendId: string;
  readonly service: string;
  /** When the crash was seen first, in milliseconds. */
  readonly crashedMs: number;
}

/** Numbers of crashes from which a part counts as the cause: see {@link PartEvidence.culprits}. */
export interface EvidenceLimits {
  readonly threshold: number;
  readonly certain: number;
}

/** Runs that went on after their response had begun, which shows that they did not crash their backends. */
export interface RunsKnown {
  /** By part: when the last such run began its response, in milliseconds. */
  readonly parts: ReadonlyMap<string, number>;
  /** By service: when such runs of any prompt began their responses, in rising order. */
  readonly services: ReadonlyMap<string, readonly number[]>;
}

interface CrashedBackend {
  readonly id: string;
  readonly service: string;
  crashedMs: number;
}

/**
 * Tells which parts of prompts crash the backends that begin a response to them.
 *
 * A crash interrupts all that its backend runs, so a part that is in many prompts is interrupted as often as the one
 * that caused it. What tells them apart is what is served between two crashes: a part that crashes its backends is in
 * none of those runs. So only crashes after the last run of a part that went well count for it, and several of them count
 * as one if nothing at all was served between them, as they may have a common cause.
 */
export class PartEvidence {
  readonly #clock: Clock;
  /** By part, the one that was recorded last at the end: the backends that crashed. */
  readonly #crashes = new Map<string, Set<string>>();
  /** By id, oldest first. */
  readonly #backends = new Map<string, CrashedBackend>();
  /** By part, the one that was recorded last at the end: when its last run that went well began its response. */
  readonly #lastRunMs = new Map<string, number>();
  /** By service: when runs that went well began their responses, in rising order. */
  readonly #runsMs = new Map<string, number[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  recordCrash({ part, backendId, service, crashedMs }: PartCrash): void {
    const backend = this.#backends.get(backendId);
    if (backend === undefined) this.#backends.set(backendId, { id: backendId, service, crashedMs });
    else backend.crashedMs = Math.min(backend.crashedMs, crashedMs);
    const backends = this.#crashes.get(part) ?? new Set<string>();
    this.#crashes.delete(part);
    this.#crashes.set(part, backends.add(backendId));
    dropOldest(this.#crashes, MAX_CRASHED_PARTS);
    dropOldest(this.#backends, MAX_CRASHED_BACKENDS);
  }

  /** Records a run that went on after its response had begun. */
  recordRun(parts: readonly string[], service: string, begunMs: number): void {
    for (const part of parts) this.#recordPartRun(part, begunMs);
    this.#recordServiceRun(service, begunMs);
  }

  /** Records what another node knows. */
  merge({ parts, services }: RunsKnown): void {
    for (const [part, begunMs] of parts) this.#recordPartRun(part, begunMs);
    for (const [service, runsMs] of services)
      for (const begunMs of runsMs) this.#recordServiceRun(service, begunMs);
  }

  /**
   * What is known of runs that went well: the last one of each of these parts, and the recent ones of all services.
   * @param sinceMs runs that began before are left out
   */
  runs(parts: readonly string[], sinceMs: number): RunsKnown {
    const known = parts.flatMap((part): [string, number][] => {
      const begunMs = this.#lastRunMs.get(part);
      return begunMs === undefined || begunMs < sinceMs ? [] : [[part, begunMs]];
    });
    const services = [...this.#runsMs].map(([service, runsMs]): [string, number[]] => [
      service,
      runsMs.filter((begunMs) => begunMs >= Math.max(sinceMs, this.#clock.now() - TOLD_RUNS_MS)),
    ]);
    return { parts: new Map(known), services: new Map(services) };
  }

  /** Whether a run of a prompt with this part that went well is known, however old. */
  hasRun(part: string): boolean {
    return this.#lastRunMs.has(part);
  }

  /** Number of different backends that crashed since the last run with this part that went well. */
  crashes(part: string): number {
    return this.#countedCrashes(part).length;
  }

  /**
   * The parts that crash their backends, as far as the evidence goes.
   *
   * A part that runs on most backends meets some crashes in a row by chance. So a crash counts for no other part than the
   * one that the most crashes speak against, and where several have the same number of them, none is found until one has
   * more, or all have `certain` crashes. Where backends crash so fast that little is served between, one crash of a
   * separate cause less is enough for a part that leads by far.
   * @param threshold crashes of separate causes that are needed
   * @param known parts that were found before, which explain the crashes that they were in
   * @param asked parts of which it is known at all nodes when a run last went well; no other part is found
   */
  culprits(
    { threshold, certain }: EvidenceLimits,
    known: Iterable<string>,
    asked: readonly string[],
  ): string[] {
    const explained = new Set<string>();
    const found: string[] = [];
    const explain = (part: string): void => {
      for (const id of this.#crashes.get(part) ?? []) explained.add(id);
    };
    for (const part of known) explain(part);
    for (;;) {
      const suspects = asked
        .map((part) => ({ part, crashes: this.#unexplained(part, explained) }))
        .sort((a, b) => b.crashes.length - a.crashes.length);
      const [most = 0] = suspects.map(({ crashes }) => crashes.length);
      const others = this.suspects(1).filter((part) => part !== suspects[0]?.part);
      const next = Math.max(0, ...others.map((part) => this.#unexplained(part, explained).length));
      const isFarAhead = most >= certain && most - next >= threshold;
      const needed = isFarAhead ? threshold - 1 : threshold;
      const candidates = suspects.filter(({ crashes }) => this.#separate(crashes) >= needed);
      const leading = candidates.filter(({ crashes }) => crashes.length === candidates[0]?.crashes.length);
      const count = leading[0]?.crashes.length ?? 0;
      if (leading.length === 0 || (leading.length > 1 && count < certain)) return found;
      for (const { part } of leading) {
        found.push(part);
        explain(part);
      }
    }
  }

  /** Forgets the crashes of a part that turned out not to have caused them. */
  forget(part: string): void {
    this.#crashes.delete(part);
  }

  /** Crashes that count, with those that may have a common cause counted once. */
  separateCrashes(part: string): number {
    return this.#separate(this.#countedCrashes(part));
  }

  /** Time since the last of the part's crashes that count, in milliseconds; Infinity if there is none. */
  lastCrashAgoMs(part: string): number {
    return this.#clock.now() - (this.#countedCrashes(part).at(-1)?.crashedMs ?? -Infinity);
  }

  /** Parts with at least this many crashes that count, those with most of them first. */
  suspects(minCrashes: number): string[] {
    return [...this.#crashes.keys()]
      .map((part) => ({ part, crashes: this.crashes(part) }))
      .filter(({ crashes }) => crashes >= minCrashes)
      .sort((a, b) => b.crashes - a.crashes)
      .map(({ part }) => part);
  }

  /** In the order of their times. */
  #countedCrashes(part: string): CrashedBackend[] {
    const sinceMs = Math.max(this.#lastRunMs.get(part) ?? -Infinity, this.#clock.now() - CRASH_WINDOW_MS);
    return [...(this.#crashes.get(part) ?? [])]
      .flatMap((id) => this.#backends.get(id) ?? [])
      .filter(({ crashedMs }) => crashedMs > sinceMs)
      .sort((a, b) => a.crashedMs - b.crashedMs);
  }

  #unexplained(part: string, explained: ReadonlySet<string>): CrashedBackend[] {
    return this.#countedCrashes(part).filter(({ id }) => !explained.has(id));
  }

  /** Number of crashes, in the order of their times, with those that may have a common cause counted once. */
  #separate(crashes: readonly CrashedBackend[]): number {
    return crashes.filter((crash, index) => {
      const previous = crashes[index - 1];
      return previous === undefined || this.#areSeparate(previous, crash);
    }).length;
  }

  #areSeparate(earlier: CrashedBackend, later: CrashedBackend): boolean {
    if (earlier.service !== later.service) return true;
    if (later.crashedMs - earlier.crashedMs > COMMON_CAUSE_MS) return true;
    const runsMs = this.#runsMs.get(earlier.service) ?? [];
    return runsMs.some((begunMs) => begunMs > earlier.crashedMs && begunMs < later.crashedMs);
  }

  #recordPartRun(part: string, begunMs: number): void {
    const lastMs = Math.max(begunMs, this.#lastRunMs.get(part) ?? -Infinity);
    this.#lastRunMs.delete(part);
    this.#lastRunMs.set(part, lastMs);
    dropOldest(this.#lastRunMs, MAX_PARTS);
  }

  #recordServiceRun(service: string, begunMs: number): void {
    const runsMs = this.#runsMs.get(service) ?? [];
    const next = runsMs.findIndex((knownMs) => knownMs >= begunMs);
    const index = next === -1 ? runsMs.length : next;
    const isKnown = [runsMs[index - 1], runsMs[index]].some(
      (knownMs) => knownMs !== undefined && Math.abs(knownMs - begunMs) < RUN_SAMPLE_MS,
    );
    if (!isKnown) runsMs.splice(index, 0, begunMs);
    const fromMs = this.#clock.now() - RUN_SAMPLE_WINDOW_MS;
    this.#runsMs.set(
      service,
      runsMs[0] !== undefined && runsMs[0] < fromMs ? runsMs.filter((knownMs) => knownMs >= fromMs) : runsMs,
    );
  }
}

function dropOldest(entries: Map<string, unknown>, max: number): void {
  const oldest = entries.keys().next();
  if (entries.size > max && oldest.done !== true) entries.delete(oldest.value);
}
