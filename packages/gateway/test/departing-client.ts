import { Worker } from 'node:worker_threads';

/** What a client does; it opens a connection unless it still has one. */
export interface ClientOrder {
  /** What it sends. */
  readonly text: string | undefined;
  /** How it ends its connection afterwards; undefined if it keeps it. */
  readonly ends: 'close' | 'reset' | undefined;
}

/**
 * A client in a thread of its own, so that it acts while the event loop of the test, and of the node in it, is
 * held up. All that it has done then lies in the queues of the operating system, for the node to read at once.
 */
export class DepartingClient {
  readonly #done = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  readonly #worker: Worker;

  constructor(port: number) {
    const workerData = { port, done: this.#done };
    this.#worker = new Worker(new URL('departing-client-thread.js', import.meta.url), { workerData });
  }

  /** Holds the event loop up until the client has carried out the order. */
  actDuringStall(order: ClientOrder): void {
    Atomics.store(this.#done, 0, 0);
    this.#worker.postMessage(order);
    Atomics.wait(this.#done, 0, 0);
  }

  async stop(): Promise<void> {
    await this.#worker.terminate();
  }
}
