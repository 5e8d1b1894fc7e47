import { Worker } from 'node:worker_threads';
import type { ExecutionContext } from 'ava';

/** Index of the last step that the worker has reported. */
const STEP = 0;
/** Index of 1 once the event loop of the test has been held up. */
const HELD_UP = 1;

/** The worker's side: `report(step)`, and `waitUntilHeldUp()`, which holds up the worker. */
const WORKER_PRELUDE = `
const { connect, createServer } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const state = new Int32Array(workerData.state);
const report = (step) => { Atomics.store(state, ${STEP}, step); Atomics.notify(state, ${STEP}); };
const waitUntilHeldUp = () => { while (Atomics.load(state, ${HELD_UP}) === 0) Atomics.wait(state, ${HELD_UP}, 0); };
`;

/**
 * Holds up the event loop of a test while a worker thread goes on, so that what the worker has sent lies unread when
 * the event loop goes on.
 */
export class HeldUpLoop {
  readonly worker: Worker;
  readonly #state = new Int32Array(new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT));

  /**
   * @param script the worker's program, as a CommonJS script
   * @param data read by the script as `workerData.data`
   */
  constructor(t: ExecutionContext, script: string, data: Readonly<Record<string, unknown>>) {
    this.worker = new Worker(WORKER_PRELUDE + script, {
      eval: true,
      workerData: { state: this.#state.buffer, data },
    });
    t.teardown(() => this.worker.terminate());
  }

  /** Resolves when the worker has reported this step; the event loop goes on. */
  async reached(step: number): Promise<void> {
    while (Atomics.load(this.#state, STEP) < step) await new Promise((resolve) => setTimeout(resolve, 5));
  }

  /**
   * Holds up the event loop until the worker has reported this step, and for some time after. It runs the timers that
   * are due before it reads what has arrived, as after a stall that strikes while sockets are read.
   */
  holdUpUntil(step: number, afterwardsMs = 0): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(() => {
        this.#holdUpNow(step, afterwardsMs);
        resolve();
      });
    });
  }

  #holdUpNow(step: number, afterwardsMs: number): void {
    Atomics.store(this.#state, HELD_UP, 1);
    Atomics.notify(this.#state, HELD_UP);
    for (let seen = Atomics.load(this.#state, STEP); seen < step; seen = Atomics.load(this.#state, STEP))
      Atomics.wait(this.#state, STEP, seen);
    holdUp(afterwardsMs);
  }
}

/** Holds up the event loop for some time. */
export function holdUp(durationMs: number): void {
  if (durationMs > 0) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}
