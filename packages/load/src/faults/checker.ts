import type { CallResult } from '../callers/call.js';
import { describeDuplicates, evaluateRun } from '../callers/evaluation.js';
import type { RevisionHead } from '@canvasridge/configuration';
import type { SimulatedFleet } from '../simulation/fleet.js';
import type { InjectionLog } from './injector.js';

/** The promises that the system keeps; `canvasridge-load faults` checks each of them. */
export const PROMISES = [
  'right-adapter',
  'never-unload-serving',
  'whole-answer',
  'true-refusals',
  'at-most-once',
  'leaving-back-ends',
  'planned-stops',
  'configuration',
] as const;

export type PromiseName = (typeof PROMISES)[number];

/** Result of checking one promise. */
export interface PromiseResult {
  /** Number of facts that were checked. */
  checks: number;
  violations: number;
  /** Descriptions of the first violations. */
  readonly examples: string[];
}

export type PromiseResults = Readonly<Record<PromiseName, PromiseResult>>;

/**
 * Time in which a leaving back end may still get work: lag of the machine list plus the nodes' polling of it.
 */
const LEAVING_GRACE_MS = 3000 + 4500 + 1500;
const MAX_EXAMPLES = 5;

export function emptyResults(): PromiseResults {
  return Object.fromEntries(
    PROMISES.map((name) => [name, { checks: 0, violations: 0, examples: [] }]),
  ) as unknown as PromiseResults;
}

/**
 * Checks revisions during a run: the revision in force in a process never decreases, and a revision number
 * never stands for two different contents.
 */
export class RevisionMonitor {
  readonly #fleet: SimulatedFleet;
  readonly #highestByProcess = new Map<string, number>();
  readonly #digestByRevision = new Map<number, string>();
  checks = 0;
  readonly violations: string[] = [];

  constructor(fleet: SimulatedFleet) {
    this.#fleet = fleet;
  }

  /** Compares the revision of every process with the one it had before. */
  observe(): void {
    for (const process of this.#fleet.processes()) {
      const { processToken, id } = process.node.membership.identity;
      const { revision } = process.node.follower.store;
      const before = this.#highestByProcess.get(processToken) ?? 0;
      this.checks += 1;
      if (revision < before) this.violations.push(`${id} went from revision ${before} to ${revision}`);
      this.#highestByProcess.set(processToken, Math.max(before, revision));
      this.#compareDigest(id, process.node.follower.store.head);
    }
  }

  /** The highest revision that was in force on any node so far. */
  get highestRevision(): number {
    return Math.max(0, ...this.#digestByRevision.keys());
  }

  #compareDigest(id: string, head: RevisionHead | undefined): void {
    if (head === undefined) return;
    const knownDigest = this.#digestByRevision.get(head.revision);
    if (knownDigest === undefined) this.#digestByRevision.set(head.revision, head.digest);
    else if (knownDigest !== head.digest)
      this.violations.push(`${id} has another revision ${head.revision} in force`);
  }
}

/** Checks all promises by comparing what callers were told with what the emulators recorded. */
export function checkPromises(
  fleet: SimulatedFleet,
  results: readonly CallResult[],
  log: InjectionLog,
  revisions: RevisionMonitor,
): PromiseResults {
  const records = fleet.standin.records();
  const evaluation = evaluateRun(results, records);
  const promises = emptyResults();
  const completed = results.filter((result) => result.outcome === 'completed');
  addResult(
    promises['right-adapter'],
    completed.length,
    describeCalls(results, (result) => result.wrongModel),
  );
  const unloads = records.engines.reduce((sum, engine) => sum + engine.unloads, 0);
  const unloaded = records.engines.flatMap((engine) =>
    engine.unloadedWhileRunning.map(
      ({ adapter, atMs, by }) => `${engine.id} ${adapter} at ${Math.round(atMs)} by ${by}`,
    ),
  );
  addResult(promises['never-unload-serving'], unloads, unloaded);
  addResult(
    promises['whole-answer'],
    results.length,
    describeCalls(results, (result) => result.outcome === 'lost' || result.wrongText),
  );
  const refusedAttempts = results.flatMap((result) =>
    result.attempts.filter((attempt) => attempt.reportedExecution === 'no'),
  );
  addResult(
    promises['true-refusals'],
    refusedAttempts.length,
    repeatText('refusal of an executed request', evaluation.falseRefusals),
  );
  const once = results.filter((result) => result.call.kind.endsWith('-once'));
  addResult(promises['at-most-once'], once.length, describeDuplicates(results, records));
  addResult(promises['leaving-back-ends'], log.leavingEngines.size, executionsAfterLeaving(fleet, log));
  addResult(
    promises['planned-stops'],
    log.plannedStops,
    repeatText('request cut', log.requestsCutByPlannedStops),
  );
  addResult(promises.configuration, revisions.checks, [
    ...revisions.violations,
    ...divergedNodes(fleet, revisions),
  ]);
  return promises;
}

function addResult(result: PromiseResult, checks: number, violations: readonly string[]): void {
  result.checks += checks;
  result.violations += violations.length;
  result.examples.push(...violations.slice(0, MAX_EXAMPLES));
}

function describeCalls(results: readonly CallResult[], violates: (result: CallResult) => boolean): string[] {
  return results.filter(violates).map(({ call, attempts, outcome }) => {
    const told = attempts.map((attempt) => attempt.reportedExecution).join(',');
    return `${call.id} (${call.kind}) ${outcome}, told ${told}`;
  });
}

function repeatText(text: string, count: number): string[] {
  return Array.from({ length: count }, () => text);
}

function executionsAfterLeaving(fleet: SimulatedFleet, log: InjectionLog): string[] {
  return [...log.leavingEngines].flatMap(([engineId, atMs]) => {
    const executions = fleet.standin.engines.get(engineId)?.record.executions ?? [];
    return executions
      .filter((execution) => execution.atMs > atMs + LEAVING_GRACE_MS)
      .map(
        (execution) => `${engineId} got ${execution.requestId} ${Math.round(execution.atMs - atMs)} ms after`,
      );
  });
}

/** Nodes that do not have the highest revision in force at the end, when all faults are over. */
function divergedNodes(fleet: SimulatedFleet, revisions: RevisionMonitor): string[] {
  return fleet.processes().flatMap((process) => {
    const { revision } = process.node.follower.store;
    if (revision === revisions.highestRevision) return [];
    return [`${process.spec.id} ended with revision ${revision}, not ${revisions.highestRevision}`];
  });
}
