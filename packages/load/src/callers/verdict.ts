import type { StandinRecords } from '@canvasridge/standin';
import { isOnce, type CallResult } from './call.js';

/** What a run came to, judged by the callers' results and by what the back ends recorded. */
export interface Verdict {
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly unknown: number;
  /** Ended without a whole answer, a true refusal or a stated "unknown". */
  readonly lost: number;
  /** Calls that may run once and ran more often. */
  readonly duplicated: number;
  readonly wrongAdapter: number;
  readonly wrongCaller: number;
  /** Refusals that say "not executed" of attempts that a back end executed. */
  readonly falseRefusals: number;
  readonly unloadedWhileRunning: number;
  readonly loadStallSecondsPerRequest: number;
  readonly batchEfficiency: number;
  readonly ttftMsP50: number;
  readonly ttftMsP95: number;
}

/** Names of the counts that must be zero. */
export const PROMISE_COUNTS = [
  'lost',
  'duplicated',
  'wrongAdapter',
  'wrongCaller',
  'falseRefusals',
  'unloadedWhileRunning',
] as const satisfies readonly (keyof Verdict)[];

/** Judges a run. */
export function judge(results: readonly CallResult[], records: StandinRecords): Verdict {
  const executions = countExecutions(records);
  const completed = results.filter((result) => result.outcome === 'completed');
  const firstTokens = completed.flatMap((result) => result.firstTokenMs ?? []).sort((a, b) => a - b);
  const stallMs = completed.reduce((sum, result) => sum + result.loadStallMs, 0);
  return {
    requests: results.length,
    completed: completed.length,
    refused: countOutcome(results, 'refused'),
    unknown: countOutcome(results, 'unknown'),
    lost: countOutcome(results, 'lost'),
    duplicated: results.filter((result) => isOnce(result.call) && executionsOf(result, executions) > 1)
      .length,
    wrongAdapter: results.filter((result) => result.wrongModel).length,
    wrongCaller: results.filter((result) => result.wrongText).length,
    falseRefusals: results.reduce((sum, result) => sum + countFalseRefusals(result, executions), 0),
    unloadedWhileRunning: records.engines.reduce(
      (sum, engine) => sum + engine.unloadedWhileRunning.length,
      0,
    ),
    loadStallSecondsPerRequest: completed.length === 0 ? 0 : round(stallMs / 1000 / completed.length),
    batchEfficiency: round(meanBatchEfficiency(records)),
    ttftMsP50: round(quantile(firstTokens, 0.5)),
    ttftMsP95: round(quantile(firstTokens, 0.95)),
  };
}

/** Calls that may run once and ran more often, with what their attempts were told. */
export function describeDuplicates(results: readonly CallResult[], records: StandinRecords): string[] {
  const executions = countExecutions(records);
  return results
    .filter((result) => isOnce(result.call) && executionsOf(result, executions) > 1)
    .map(({ call, attempts }) => {
      const told = attempts.map(
        (attempt) =>
          `${attempt.requestId} ran ${executions.get(attempt.requestId) ?? 0} times, told ${attempt.told}`,
      );
      return `${call.id} (${call.kind}): ${told.join('; ')}`;
    });
}

export function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function countOutcome(results: readonly CallResult[], outcome: CallResult['outcome']): number {
  return results.filter((result) => result.outcome === outcome).length;
}

/** Executions by the caller's request id; nodes append a suffix for each engine attempt. */
function countExecutions(records: StandinRecords): Map<string, number> {
  const counts = new Map<string, number>();
  const add = (requestId: string): void => {
    const [callerId = ''] = requestId.split('.');
    counts.set(callerId, (counts.get(callerId) ?? 0) + 1);
  };
  for (const engine of records.engines) for (const execution of engine.executions) add(execution.requestId);
  for (const service of records.services)
    for (const execution of service.executions) add(execution.requestId);
  return counts;
}

function executionsOf(result: CallResult, executions: ReadonlyMap<string, number>): number {
  return result.attempts.reduce((sum, attempt) => sum + (executions.get(attempt.requestId) ?? 0), 0);
}

function countFalseRefusals(result: CallResult, executions: ReadonlyMap<string, number>): number {
  return result.attempts.filter(
    (attempt) => attempt.told === 'no' && (executions.get(attempt.requestId) ?? 0) > 0,
  ).length;
}

/** Mean over engines, each weighted by the steps it worked. */
function meanBatchEfficiency(records: StandinRecords): number {
  const steps = records.engines.reduce((sum, engine) => sum + engine.steps, 0);
  const filled = records.engines.reduce((sum, engine) => sum + engine.batchEfficiency * engine.steps, 0);
  return steps === 0 ? 0 : filled / steps;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
