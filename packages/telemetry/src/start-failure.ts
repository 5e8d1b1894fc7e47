import type { EventLogger } from './event-logger.js';

/** Why a process could not start. */
export interface StartFailure {
  /** What could not be done: read the settings, bind an address. */
  readonly reason: 'settings' | 'address';
  /** The settings file, or the setting with the address. */
  readonly subject: string;
  readonly problem: string;
  /** `IP:port`, if the reason is an address. */
  readonly address?: string;
  /** Exit code of the process. */
  readonly exitCode: number;
}

/** Logs `process.start-failed`. A process without settings has no telemetry yet, so this takes its logger. */
export function logStartFailure(logger: Pick<EventLogger, 'log'>, failure: StartFailure): void {
  const { reason, subject, problem, address, exitCode } = failure;
  logger.log('error', 'process.start-failed', { subject, reason, address, problem, exitCode });
}
