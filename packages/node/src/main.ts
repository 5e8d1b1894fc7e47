import { setTimeout } from 'node:timers/promises';
import { ExitCode, runCommand, settingsCommand, stopSignal } from '@canvasridge/settings';
import { EventLogger, logStartFailure, surviveClosedStreams } from '@canvasridge/telemetry';
import { startNodeProcess } from './process.js';
import { nodeSettingsSchema, type NodeSettings } from './settings.js';

const NAME = 'canvasridge-node';
const VERSION = '0.1.0';
/** For the end of a planned stop, beyond the time for running requests. */
const STOP_MARGIN_MS = 1000;

const serve = settingsCommand({
  name: NAME,
  summary: 'Runs an entry node. SIGTERM or SIGINT stops it gracefully: running requests are answered first.',
  schema: nodeSettingsSchema,
  run: runNode,
});

async function runNode(settings: NodeSettings, file: string): Promise<number> {
  const logger = new EventLogger(settings.node.id, 'info');
  // Without a listener, the signal ends the process.
  process.on('SIGHUP', () => logger.log('warn', 'settings.not-reloaded', { subject: file }));
  const stopping = new AbortController();
  const stopped = stopSignal().then(() => stopping.abort());
  const started = await startNodeProcess(settings, stopping.signal);
  if (started.isErr()) {
    if (stopping.signal.aborted) return ExitCode.success;
    const { field, address, reason } = started.error;
    process.stderr.write(
      `${file}: ${field}: cannot listen on ${address}: ${reason}; choose a free address\n`,
    );
    logStartFailure(logger, {
      reason: 'address',
      subject: field,
      address,
      problem: reason,
      exitCode: ExitCode.failure,
    });
    return ExitCode.failure;
  }
  const { callersUrl, peersUrl, gossip, failure } = started.value;
  failure.watch();
  process.stdout.write(`${JSON.stringify({ ready: true, callersUrl, peersUrl, gossip })}\n`);
  await Promise.race([stopped, failure.untilFailed()]);
  const { lingerSeconds, limitSeconds } = settings.drain;
  await Promise.race([
    started.value.stop(),
    setTimeout((lingerSeconds + limitSeconds) * 1000 + STOP_MARGIN_MS),
  ]);
  // Connections that stay open, and lines that nobody reads, would keep the process.
  process.exit(failure.hasOccurred ? ExitCode.failure : ExitCode.success);
}

/** Entry point of `canvasridge-node`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  surviveClosedStreams();
  return runCommand(NAME, VERSION, [serve], argv);
}
