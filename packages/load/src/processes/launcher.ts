import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** A process started for an experiment or a test. The product itself never starts processes. */
export interface LaunchedProcess {
  readonly name: string;
  /** JSON object that the process printed when it was ready. */
  readonly ready: Readonly<Record<string, unknown>>;
  readonly child: ChildProcess;
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code once the process has ended; null if a signal ended it. */
  readonly exited: Promise<number | null>;
}

const BINARIES = {
  node: '../../../../node/bin/canvasridge-node.js',
  standin: '../../../../standin/bin/canvasridge-standin.js',
} as const;

const READY_TIMEOUT_MS = 20_000;

/** Starts a binary with a settings file and waits until it prints that it is ready. */
export async function launch(
  binary: keyof typeof BINARIES,
  name: string,
  settingsFile: string,
  logFile: string,
): Promise<LaunchedProcess> {
  const path = fileURLToPath(new URL(BINARIES[binary], import.meta.url));
  const child = spawn(process.execPath, [path, '--settings', settingsFile], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  child.stderr.pipe(createWriteStream(logFile));
  const exited = new Promise<number | null>((resolve) => child.once('exit', (code) => resolve(code)));
  const ready = await readReadyLine(child, name, exited);
  return {
    name,
    ready,
    child,
    exited,
    signal: (signalName) => {
      if (child.exitCode === null && child.signalCode === null) child.kill(signalName);
    },
  };
}

async function readReadyLine(
  child: ChildProcess,
  name: string,
  exited: Promise<number | null>,
): Promise<Readonly<Record<string, unknown>>> {
  if (child.stdout === null) throw new Error(`${name}: no standard output`);
  const lines = createInterface({ input: child.stdout });
  const line = new Promise<string>((resolve) => lines.once('line', resolve));
  const timeout = new Promise<never>((_resolve, reject) => {
    setTimeout(
      () => reject(new Error(`${name}: not ready in ${READY_TIMEOUT_MS} ms`)),
      READY_TIMEOUT_MS,
    ).unref();
  });
  const ended = exited.then((code) =>
    Promise.reject(new Error(`${name}: ended with ${code} before it was ready`)),
  );
  return JSON.parse(await Promise.race([line, timeout, ended])) as Readonly<Record<string, unknown>>;
}

/** Stops all running processes with SIGTERM, and after a grace period with SIGKILL. */
export async function stopAll(processes: readonly LaunchedProcess[]): Promise<void> {
  const graceMs = 2000;
  for (const launched of processes) launched.signal('SIGTERM');
  const timer = setTimeout(() => {
    for (const launched of processes) launched.signal('SIGKILL');
  }, graceMs);
  await Promise.all(processes.map((launched) => launched.exited));
  clearTimeout(timer);
}
