import type { Clock } from '@canvasridge/clock';
import { errorFields } from './error-fields.js';
import type { Telemetry } from './telemetry.js';

/** Pause before a task that has failed is started again, in milliseconds. */
const RESTART_PAUSE_MS = 1000;

/**
 * Starts work that nobody awaits. If it fails, that is logged as `task.failed`, and nothing else ends.
 * @param name of the task, for the log line
 */
export function runInBackground(
  telemetry: Pick<Telemetry, 'event'>,
  name: string,
  work: () => Promise<unknown>,
): void {
  runLogged(telemetry, name, work).catch(logToStandardError);
}

/**
 * Starts a task that runs until it returns, such as a loop for the life of its owner. If it fails, that is logged as
 * `task.failed`, and it is started again after a pause.
 */
export function keepRunning(
  {
    telemetry,
    clock,
  }: { readonly telemetry: Pick<Telemetry, 'event'>; readonly clock: Pick<Clock, 'sleep'> },
  name: string,
  task: () => Promise<void>,
): void {
  restartUntilDone(telemetry, clock, name, task).catch(logToStandardError);
}

async function restartUntilDone(
  telemetry: Pick<Telemetry, 'event'>,
  clock: Pick<Clock, 'sleep'>,
  name: string,
  task: () => Promise<void>,
): Promise<void> {
  while (!(await runLogged(telemetry, name, task))) await clock.sleep(RESTART_PAUSE_MS);
}

/** Resolves to whether the work succeeded; never rejects. A failure is logged as `task.failed`. */
export async function runLogged(
  telemetry: Pick<Telemetry, 'event'>,
  name: string,
  work: () => Promise<unknown>,
): Promise<boolean> {
  try {
    await work();
    return true;
  } catch (cause) {
    telemetry.event('error', 'task.failed', name, errorFields(cause));
    return false;
  }
}

/** What the log itself can't take. */
function logToStandardError(cause: unknown): void {
  process.stderr.write(`log failed: ${String(cause)}\n`);
}
