import type { CallResult } from '../callers/call.js';
import { describeDuplicates, judge } from '../callers/verdict.js';
import type { RevisionHead } from '@canvasridge/configuration';
import type { SimulatedFleet } from '../simulation/fleet.js';
import type { InjectionLog } from './injector.js';

/** The promises, as docs/reference/promises.md numbers them. */
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

export type Promise8 = (typeof PROMISES)[number];

export interface PromiseResult {
  /** Facts that were compared. */
  checks: number;
  violations: number;
  /** The first few, in words. */
  readonly examples: string[];
}

export type PromiseResults = Readonly<Record<Promise8, PromiseResult>>;

/** Time in which a leaving back end may still get work: lag of the machine list and of polling. */
const LEAVING_GRACE_MS = 3000 + 4500 + 1500;
const EXAMPLES_KEPT = 5;

export function emptyResults(): PromiseResults {
  return Object.fromEntries(
    PROMISES.map((name) => [name, { checks: 0, violations: 0, examples: [] }]),
  ) as unknown as PromiseResults;
}

/**
 * Watches revisions while a run goes on: what is in force on a node never goes back, and one revision
 * number is never in force with two contents.
 */
export class RevisionWatch {
  readonly #fleet: SimulatedFleet;
  readonly #highest = new Map<string, number>();
  readonly #digests = new Map<number, string>();
  checks = 0;
  readonly reverts: string[] = [];

  constructor(fleet: SimulatedFleet) {
    this.#fleet = fleet;
  }

  /** Compares every process with what it had in force before. */
  observe(): void {
    for (const process of this.#fleet.processes()) {
      const { processToken, id } = process.node.membership.identity;
      const { revision } = process.node.follower.store;
      const before = this.#highest.get(processToken) ?? 0;
      this.checks += 1;
      if (revision < before) this.reverts.push(`${id} went from revision ${before} to ${revision}`);
      this.#highest.set(processToken, Math.max(before, revision));
      this.#compareDigest(id, process.node.follower.store.head);
    }
  }

  /** The highest revision that was ever in force on a node: an accepted one. */
  get accepted(): number {
    return Math.max(0, ...this.#digests.keys());
  }

  #compareDigest(id: string, head: RevisionHead | undefined): void {
    if (head === undefined) return;
    const known = this.#digests.get(head.revision);
    if (known === undefined) this.#digests.set(head.revision, head.digest);
    else if (known !== head.digest) this.reverts.push(`${id} has another revision ${head.revision} in force`);
  }
}

/** Judges a run by what callers were told and what the emulators recorded. */
export function checkPromises(
  fleet: SimulatedFleet,
  results: readonly CallResult[],
  log: InjectionLog,
  revisions: RevisionWatch,
): PromiseResults {
  const records = fleet.standin.records();
  const verdict = judge(results, records);
  const found = emptyResults();
  const completed = results.filter((result) => result.outcome === 'completed');
  note(
    found['right-adapter'],
    completed.length,
    namesOf(results, (result) => result.wrongModel),
  );
  const unloads = records.engines.reduce((sum, engine) => sum + engine.unloads, 0);
  const unloaded = records.engines.flatMap((engine) =>
    engine.unloadedWhileRunning.map(
      ({ adapter, atMs, by }) => `${engine.id} ${adapter} at ${Math.round(atMs)} by ${by}`,
    ),
  );
  note(found['never-unload-serving'], unloads, unloaded);
  note(
    found['whole-answer'],
    results.length,
    namesOf(results, (result) => result.outcome === 'lost' || result.wrongText),
  );
  const told = results.flatMap((result) => result.attempts.filter((attempt) => attempt.told === 'no'));
  note(found['true-refusals'], told.length, repeat('refusal of an executed request', verdict.falseRefusals));
  const once = results.filter((result) => result.call.kind.endsWith('-once'));
  note(found['at-most-once'], once.length, describeDuplicates(results, records));
  note(found['leaving-back-ends'], log.leavingEngines.size, lateExecutions(fleet, log));
  note(found['planned-stops'], log.plannedStops, repeat('request cut', log.requestsCutByPlannedStops));
  note(found.configuration, revisions.checks, [...revisions.reverts, ...divergedNodes(fleet, revisions)]);
  return found;
}

function note(result: PromiseResult, checks: number, violations: readonly string[]): void {
  result.checks += checks;
  result.violations += violations.length;
  result.examples.push(...violations.slice(0, EXAMPLES_KEPT));
}

function namesOf(results: readonly CallResult[], violates: (result: CallResult) => boolean): string[] {
  return results.filter(violates).map(({ call, attempts, outcome }) => {
    const told = attempts.map((attempt) => attempt.told).join(',');
    return `${call.id} (${call.kind}) ${outcome}, told ${told}`;
  });
}

function repeat(text: string, count: number): string[] {
  return Array.from({ length: count }, () => text);
}

function lateExecutions(fleet: SimulatedFleet, log: InjectionLog): string[] {
  return [...log.leavingEngines].flatMap(([engineId, atMs]) => {
    const executions = fleet.standin.engines.get(engineId)?.record.executions ?? [];
    return executions
      .filter((execution) => execution.atMs > atMs + LEAVING_GRACE_MS)
      .map(
        (execution) => `${engineId} got ${execution.requestId} ${Math.round(execution.atMs - atMs)} ms after`,
      );
  });
}

/** At the end, with all faults over, every node has the highest accepted revision. */
function divergedNodes(fleet: SimulatedFleet, revisions: RevisionWatch): string[] {
  return fleet.processes().flatMap((process) => {
    const { revision } = process.node.follower.store;
    if (revision === revisions.accepted) return [];
    return [`${process.spec.id} ended with revision ${revision}, not ${revisions.accepted}`];
  });
}
