import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { ExecutionContext } from 'ava';
import type { BackendDescription } from '@canvasridge/serving';
import {
  RELEASED,
  type Arrival,
  type OutsideSetup,
  type OutsideStep,
  type UnreadOutcome,
} from './unread-input-messages.js';

/**
 * A client, a backend and a reader of the store, all in a thread of their own, so that they go on while the
 * event loop of the node in this thread is held up.
 */
export class Outside {
  readonly #worker: Worker;
  readonly #released: Int32Array;

  private constructor(
    worker: Worker,
    released: Int32Array,
    readonly backend: BackendDescription,
    readonly readerAddress: string,
  ) {
    this.#worker = worker;
    this.#released = released;
  }

  static async start(t: ExecutionContext): Promise<Outside> {
    const released = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(new URL('./unread-input-worker.js', import.meta.url), { workerData: released });
    t.teardown(() => worker.terminate());
    const [setup] = (await once(worker, 'message')) as [OutsideSetup];
    return new Outside(worker, released, setup.backend, setup.readerAddress);
  }

  /**
   * Gets a response over a kept connection, which stays open at both ends of the node, while another request
   * of this client runs on the backend.
   */
  async openConnections(nodePort: number): Promise<void> {
    this.#worker.postMessage({ kind: 'open', nodePort } satisfies OutsideStep);
    await once(this.#worker, 'message');
  }

  /** Resolves when a question of the node has reached the reader of the store. */
  async readerAsked(): Promise<void> {
    this.#worker.postMessage({ kind: 'await-question' } satisfies OutsideStep);
    await once(this.#worker, 'message');
  }

  /** Blocks the event loop of this thread until all of this has arrived, in this order, and is unread. */
  arriveUnread(arrivals: readonly Arrival[]): void {
    Atomics.store(this.#released, 0, 0);
    this.#worker.postMessage({ kind: 'arrive', arrivals } satisfies OutsideStep);
    Atomics.wait(this.#released, 0, 0);
    if (this.#released[0] !== RELEASED) throw new Error('not released');
  }

  /** Resolves when the request that arrived unread has been answered. */
  async outcome(): Promise<UnreadOutcome> {
    this.#worker.postMessage({ kind: 'report' } satisfies OutsideStep);
    const [outcome] = (await once(this.#worker, 'message')) as [UnreadOutcome];
    return outcome;
  }
}
