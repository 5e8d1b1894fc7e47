import {
  ExitCode,
  formatSettingsError,
  readJsonFile,
  runCommand,
  UsageError,
  type CommandDefinition,
  type CommandInput,
} from '@canvasridge/settings';
import { startStandinProcess } from './process.js';
import { standinSettingsSchema } from './settings.js';

const VERSION = '0.1.0';

const serve: CommandDefinition = {
  name: '',
  summary: 'Emulates the platform: engines, services, weight store, configuration service, machine list.',
  options: {
    settings: { type: 'string', short: 's', help: 'settings file, JSON', placeholder: 'FILE' },
    check: { type: 'boolean', help: 'check the settings file and exit' },
  },
  run: runStandin,
};

async function runStandin(input: CommandInput): Promise<number> {
  const file = input.text('settings');
  if (file === undefined) throw new UsageError('--settings is missing: give the path of the settings file');
  const settings = await readJsonFile(file, standinSettingsSchema);
  if (settings.isErr()) {
    process.stderr.write(`${formatSettingsError(settings.error)}\n`);
    return ExitCode.usage;
  }
  if (input.flag('check')) {
    process.stdout.write(`${file}: valid\n`);
    return ExitCode.success;
  }
  try {
    const { platformUrl, engineUrls, serviceUrls, stop } = await startStandinProcess(settings.value);
    process.stdout.write(`${JSON.stringify({ ready: true, platformUrl, engineUrls, serviceUrls })}\n`);
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    await stop();
    return ExitCode.success;
  } catch (cause) {
    process.stderr.write(`${file}: cannot listen: ${(cause as Error).message}; choose a free address\n`);
    return ExitCode.failure;
  }
}

/** Entry point of `canvasridge-standin`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  return runCommand('canvasridge-standin', VERSION, [serve], argv);
}
