import { setMaxListeners } from 'node:events';
import { parentPort, workerData } from 'node:worker_threads';
import type { StreamSink } from '@canvasridge/domain';
import { newHttpAgent, streamExchange } from '@canvasridge/http-bindings';

/** Work of one load worker thread. */
export interface LoadJob {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Number of concurrent requests. */
  readonly concurrency: number;
  readonly durationMs: number;
  /** Pause after each request of a client; 0 for the maximum load. */
  readonly pauseMs: number;
}

/**
 * Measurement of a load worker. `completed`, `tokens` and the times cover requests that ended within the
 * duration.
 */
export interface LoadMeasurement {
  readonly completed: number;
  readonly failed: number;
  readonly tokens: number;
  readonly seconds: number;
  /** Times to the first byte, in milliseconds. */
  readonly firstByteMs: readonly number[];
}

const EVENT_END = Buffer.from('\n\n');

async function run(job: LoadJob): Promise<LoadMeasurement> {
  const agent = newHttpAgent();
  const body = Buffer.from(job.body);
  const startedAtMs = performance.now();
  const untilMs = startedAtMs + job.durationMs;
  const firstByteMs: number[] = [];
  let completed = 0;
  let failed = 0;
  let tokens = 0;
  const never = new AbortController().signal;
  setMaxListeners(0, never); // each running request adds a listener to the signal
  const client = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      const sentAtMs = performance.now();
      let first = 0;
      let events = 0;
      const sink: StreamSink = {
        start: () => undefined,
        write: (chunk) => {
          if (first === 0) first = performance.now() - sentAtMs;
          events += countEvents(chunk as Buffer);
          return true;
        },
        waitForDrain: () => Promise.resolve(),
      };
      const { url: origin, headers } = job;
      const target = { origin, path: '/v1/completions', method: 'POST', headers, body };
      const end = await streamExchange(
        agent,
        { ...target, passesStatus: (status) => status === 200 },
        sink,
        never,
      );
      if (end.kind !== 'answered') failed += 1;
      else if (performance.now() < untilMs) {
        completed += 1;
        tokens += events - 1; // the last event is `[DONE]`
        firstByteMs.push(first);
      }
      if (job.pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, job.pauseMs));
    }
  };
  await Promise.all(Array.from({ length: job.concurrency }, client));
  await agent.destroy();
  return { completed, failed, tokens, seconds: job.durationMs / 1000, firstByteMs };
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf(EVENT_END); at !== -1; at = chunk.indexOf(EVENT_END, at + 2)) count += 1;
  return count;
}

const measurement = await run(workerData as LoadJob);
parentPort?.postMessage(measurement);
