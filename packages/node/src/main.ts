import {
  ExitCode,
  formatSettingsError,
  readJsonFile,
  runCommand,
  UsageError,
  type CommandDefinition,
  type CommandInput,
} from '@canvasridge/settings';
import { startNodeProcess } from './process.js';
import { nodeSettingsSchema } from './settings.js';

const VERSION = '0.1.0';

const serve: CommandDefinition = {
  name: '',
  summary: 'Runs an entry node. SIGTERM or SIGINT stops it as planned: running requests are answered first.',
  options: {
    settings: { type: 'string', short: 's', help: 'settings file, JSON', placeholder: 'FILE' },
    check: { type: 'boolean', help: 'check the settings file and exit' },
  },
  run: runNode,
};

async function runNode(input: CommandInput): Promise<number> {
  const file = input.text('settings');
  if (file === undefined) throw new UsageError('--settings is missing: give the path of the settings file');
  const settings = await readJsonFile(file, nodeSettingsSchema);
  if (settings.isErr()) {
    process.stderr.write(`${formatSettingsError(settings.error)}\n`);
    return ExitCode.usage;
  }
  if (input.flag('check')) {
    process.stdout.write(`${file}: valid\n`);
    return ExitCode.success;
  }
  const started = await startNodeProcess(settings.value);
  if (started.isErr()) {
    const { field, address, reason } = started.error;
    process.stderr.write(
      `${file}: ${field}: cannot listen on ${address}: ${reason}; choose a free address\n`,
    );
    return ExitCode.failure;
  }
  const { callersUrl, peersUrl, gossip } = started.value;
  process.stdout.write(`${JSON.stringify({ ready: true, callersUrl, peersUrl, gossip })}\n`);
  await stopSignal();
  await started.value.stop();
  return ExitCode.success;
}

function stopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

/** Entry point of `canvasridge-node`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  return runCommand('canvasridge-node', VERSION, [serve], argv);
}
