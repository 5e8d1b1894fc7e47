import type { ServerResponse } from 'node:http';
import type { ResponseMemory } from './response-memory-budget.js';

/**
 * Writes the body of one response as fast as its client reads, one chunk after another, so that each one is freed when
 * it has been read and a client that reads slowly is told from one that does not.
 */
export class ResponseWriter {
  readonly #response: ServerResponse;
  readonly #memory: ResponseMemory;
  #queue: Buffer[] = [];
  #queuedBytes = 0;
  #isEnding = false;
  #onDrain: (() => void) | undefined;

  constructor(response: ServerResponse, memory: ResponseMemory) {
    this.#response = response;
    this.#memory = memory;
    response.on('drain', () => {
      memory.progressed();
      this.#flush();
    });
    response.once('finish', () => memory.release());
    response.once('close', () => {
      this.#queue = [];
      memory.release();
    });
  }

  /** Returns false if the caller should wait for `onDrain` before it writes more. */
  write(chunk: Buffer): boolean {
    this.#queue.push(chunk);
    this.#queuedBytes += chunk.length;
    this.#flush();
    return !this.#isWaiting;
  }

  /** Ends the response after all that has been written. */
  end(chunk?: Buffer): void {
    this.#isEnding = true;
    if (this.#response.destroyed) return;
    if (!this.#isWaiting) this.#response.end(chunk);
    else if (chunk !== undefined) this.write(chunk);
    this.#account();
  }

  /** @param callback called once, when all that was written has been passed on */
  onDrain(callback: () => void): void {
    this.#onDrain = callback;
  }

  get #isWaiting(): boolean {
    return this.#queue.length > 0 || this.#response.writableNeedDrain;
  }

  #flush(): void {
    if (this.#response.destroyed) return;
    while (this.#queue.length > 0 && !this.#response.writableNeedDrain) {
      const chunk = this.#queue.shift();
      this.#queuedBytes -= chunk?.length ?? 0;
      this.#response.write(chunk);
    }
    if (!this.#isWaiting) this.#handleDrained();
    this.#account();
  }

  #handleDrained(): void {
    if (this.#isEnding) {
      this.#response.end();
      return;
    }
    const callback = this.#onDrain;
    this.#onDrain = undefined;
    callback?.();
  }

  #account(): void {
    this.#memory.wait(this.#queuedBytes + this.#response.writableLength);
  }
}
