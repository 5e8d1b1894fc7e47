import { SystemClock } from '@canvasridge/clock';
import { EventLogger, logStartFailure } from '@canvasridge/telemetry';
import type { Result } from 'neverthrow';
import type { z } from 'zod';
import { ExitCode, UsageError, type CommandDefinition, type CommandInput } from './command-line.js';
import { formatSettingsError, readJsonFile, type SettingsError } from './document.js';
import { SettingsFile } from './settings-file.js';

/** An executable that runs with one settings file until it is stopped. */
export interface SettingsCommand<T> {
  /** Name of the executable, for log lines. */
  readonly name: string;
  readonly summary: string;
  readonly schema: z.ZodType<T>;
  /**
   * Runs with valid settings; resolves with the exit code. `file` is the settings file, for error messages.
   */
  readonly run: (settings: T, file: string) => Promise<number>;
}

/** Command definition of such an executable: `--settings FILE`, and `--check` to only validate the file. */
export function settingsCommand<T>(command: SettingsCommand<T>): CommandDefinition {
  return {
    name: '',
    summary: command.summary,
    options: {
      settings: { type: 'string', short: 's', help: 'settings file, JSON', placeholder: 'FILE' },
      check: { type: 'boolean', help: 'check the settings file and exit' },
    },
    run: (input) => runWithSettings(command, input),
  };
}

async function runWithSettings<T>(command: SettingsCommand<T>, input: CommandInput): Promise<number> {
  const file = input.text('settings');
  if (file === undefined) throw new UsageError('--settings is missing: give the path of the settings file');
  const logger = new EventLogger(command.name, 'info');
  const settings = await readSettings(command, file, logger, input.flag('check'));
  if (settings.isErr()) {
    const problem = formatSettingsError(settings.error);
    process.stderr.write(`${problem}\n`);
    logStartFailure(logger, {
      reason: 'settings',
      subject: file,
      problem,
      exitCode: ExitCode.usage,
    });
    return ExitCode.usage;
  }
  if (!input.flag('check')) return command.run(settings.value, file);
  process.stdout.write(`${file}: valid\n`);
  return ExitCode.success;
}

/** @param isCheck whether only the file is checked: it is then not waited for */
function readSettings<T>(
  { schema }: SettingsCommand<T>,
  file: string,
  logger: EventLogger,
  isCheck: boolean,
): Promise<Result<T, SettingsError>> {
  if (isCheck) return readJsonFile(file, schema);
  const onWaiting = (error: SettingsError): void =>
    logger.log('warn', 'settings.waiting', { subject: file, problem: formatSettingsError(error) });
  return new SettingsFile({ file, schema, clock: new SystemClock(), onWaiting }).read();
}

/** Resolves with the signal on SIGTERM or SIGINT. */
export function stopSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    // Not `once`: without a listener, a second signal would kill the process in the middle of its graceful stop.
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
}
