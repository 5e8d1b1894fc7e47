import { ExitCode, runCommand, settingsCommand, stopSignal } from '@canvasridge/settings';
import { startNodeProcess } from './process.js';
import { nodeSettingsSchema, type NodeSettings } from './settings.js';

const VERSION = '0.1.0';

const serve = settingsCommand({
  summary: 'Runs an entry node. SIGTERM or SIGINT stops it gracefully: running requests are answered first.',
  schema: nodeSettingsSchema,
  run: runNode,
});

async function runNode(settings: NodeSettings, file: string): Promise<number> {
  const started = await startNodeProcess(settings);
  if (started.isErr()) {
    const { field, address, reason } = started.error;
    process.stderr.write(
      `${file}: ${field}: cannot listen on ${address}: ${reason}; choose a free address\n`,
    );
    return ExitCode.failure;
  }
  const { callersUrl, peersUrl, gossip, failure } = started.value;
  failure.watch();
  process.stdout.write(`${JSON.stringify({ ready: true, callersUrl, peersUrl, gossip })}\n`);
  await Promise.race([stopSignal(), failure.untilFailed()]);
  await started.value.stop();
  return failure.hasOccurred ? ExitCode.failure : ExitCode.success;
}

/** Entry point of `canvasridge-node`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  return runCommand('canvasridge-node', VERSION, [serve], argv);
}
