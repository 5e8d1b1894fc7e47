import type { StandinRecords } from '@canvasridge/standin';
import { isAtMostOnce, type CallResult } from './call.js';

/**
 * Evaluation of a run by the callers' results and the records of the back ends. The demo prints it as JSON.
 */
export interface Evaluation {
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly unknown: number;
  /** Calls that ended without a complete response, a refusal or a stated "unknown". */
  readonly lost: number;
  /** At-most-once calls that were executed more than once. */
  readonly duplicated: number;
  /** Responses that named another model than the one requested. */
  readonly wrongAdapter: number;
  /** Responses with the text of another call. */
  readonly wrongCaller: number;
  /** Attempts reported as not executed although a back end executed them. */
  readonly falseRefusals: number;
  readonly unloadedWhileRunning: number;
  readonly loadStallSecondsPerRequest: number;
  readonly batchEfficiency: number;
  /** Quantiles of the time to the first token of completed calls. */
  readonly ttftMsP50: number;
  readonly ttftMsP95: number;
}

/** Names of the counts that are zero unless a promise was violated. */
export const VIOLATION_COUNTS = [
  'lost',
  'duplicated',
  'wrongAdapter',
  'wrongCaller',
  'falseRefusals',
  'unloadedWhileRunning',
] as const satisfies readonly (keyof Evaluation)[];

/** Evaluates a run. */
export function evaluateRun(results: readonly CallResult[], records: StandinRecords): Evaluation {
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
    duplicated: results.filter((result) => isAtMostOnce(result.call) && executionsOf(result, executions) > 1)
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

/** Describes the at-most-once calls that were executed more than once, with what their attempts were told. */
export function describeDuplicates(results: readonly CallResult[], records: StandinRecords): string[] {
  const executions = countExecutions(records);
  return results
    .filter((result) => isAtMostOnce(result.call) && executionsOf(result, executions) > 1)
    .map(({ call, attempts }) => {
      const told = attempts.map(
        (attempt) =>
          `${attempt.requestId} ran ${executions.get(attempt.requestId) ?? 0} times, told ${attempt.reportedExecution}`,
      );
      return `${call.id} (${call.kind}): ${told.join('; ')}`;
    });
}

/** The given quantile of ascending values, 0 without any. */
export function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

function countOutcome(results: readonly CallResult[], outcome: CallResult['outcome']): number {
  return results.filter((result) => result.outcome === outcome).length;
}

/**
 * Number of executions by the caller's request id; nodes append a suffix to it for each attempt at an engine.
 */
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
    (attempt) => attempt.reportedExecution === 'no' && (executions.get(attempt.requestId) ?? 0) > 0,
  ).length;
}

/** Mean over all engines, each weighted by its number of steps. */
function meanBatchEfficiency(records: StandinRecords): number {
  const steps = records.engines.reduce((sum, engine) => sum + engine.steps, 0);
  const filled = records.engines.reduce((sum, engine) => sum + engine.batchEfficiency * engine.steps, 0);
  return steps === 0 ? 0 : filled / steps;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
