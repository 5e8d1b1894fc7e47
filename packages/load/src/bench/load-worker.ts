import { setMaxListeners } from 'node:events';
import { parentPort, workerData } from 'node:worker_threads';
import type { StreamSink } from '@canvasridge/domain';
import { newHttpAgent, streamExchange } from '@canvasridge/http-bindings';

/** What a load worker is told to do. */
export interface LoadOrder {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Requests kept running at once. */
  readonly concurrency: number;
  readonly durationMs: number;
  /** Pause after each request, for a low load; 0 for the highest. */
  readonly pauseMs: number;
}

/** What it measured, over requests that ended inside the duration. */
export interface LoadMeasurement {
  readonly completed: number;
  readonly failed: number;
  readonly tokens: number;
  readonly seconds: number;
  /** Times to the first byte, in milliseconds. */
  readonly firstByteMs: readonly number[];
}

const EVENT_END = Buffer.from('\n\n');

async function run(order: LoadOrder): Promise<LoadMeasurement> {
  const agent = newHttpAgent();
  const body = Buffer.from(order.body);
  const startedAtMs = performance.now();
  const untilMs = startedAtMs + order.durationMs;
  const firstByteMs: number[] = [];
  let completed = 0;
  let failed = 0;
  let tokens = 0;
  const never = new AbortController().signal;
  setMaxListeners(0, never); // one listener for each request that runs
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
      const { url: origin, headers } = order;
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
        tokens += events - 1;
        firstByteMs.push(first);
      }
      if (order.pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, order.pauseMs));
    }
  };
  await Promise.all(Array.from({ length: order.concurrency }, client));
  await agent.destroy();
  return { completed, failed, tokens, seconds: order.durationMs / 1000, firstByteMs };
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf(EVENT_END); at !== -1; at = chunk.indexOf(EVENT_END, at + 2)) count += 1;
  return count;
}

const measurement = await run(workerData as LoadOrder);
parentPort?.postMessage(measurement);
