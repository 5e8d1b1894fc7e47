import { ExitCode, runCommand, settingsCommand, stopSignal } from '@canvasridge/settings';
import { startStandinProcess } from './process.js';
import { standinSettingsSchema, type StandinSettings } from './settings.js';

const VERSION = '0.1.0';

const serve = settingsCommand({
  name: 'canvasridge-standin',
  summary: 'Emulates the platform: engines, services, weight store, configuration service, machine list.',
  schema: standinSettingsSchema,
  run: runStandin,
});

async function runStandin(settings: StandinSettings, file: string): Promise<number> {
  try {
    const { platformUrl, engineUrls, serviceUrls, stop } = await startStandinProcess(settings);
    process.stdout.write(`${JSON.stringify({ ready: true, platformUrl, engineUrls, serviceUrls })}\n`);
    await stopSignal();
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
