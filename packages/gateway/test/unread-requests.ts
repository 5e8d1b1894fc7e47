import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { SystemClock, type Timer } from '@canvasridge/clock';
import type { ExecutionContext } from 'ava';
import type { RequestDialect } from '../src/request/dialect.js';
import { HOST, dialect } from './harness.js';
import { success } from './raw-backend.js';
import { startNode, type RunningNode } from './running-node.js';

/** Time in milliseconds for which each client waits, as its request says. */
export const DEADLINE_MS = 4000;
/** The time that a backend is told may exceed what the client has left by this much. */
const TOLERANCE_MS = 500;
const GRACE_MS = 800;

/** A clock that tests advance; timers that are due then run at once, as the event loop runs them before it reads sockets. */
export class SteppedClock extends SystemClock {
  #addedMs = 0;
  /** Timers that have not run, each with the time at which it is due. */
  readonly #pending = new Map<() => void, number>();

  override now(): number {
    return super.now() + this.#addedMs;
  }

  override wallTime(): number {
    return super.wallTime() + this.#addedMs;
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    const run = (): void => {
      timer.cancel();
      if (this.#pending.delete(run)) callback();
    };
    const timer = super.setTimer(delayMs, run);
    this.#pending.set(run, this.now() + delayMs);
    return {
      cancel: () => {
        timer.cancel();
        this.#pending.delete(run);
      },
    };
  }

  advance(durationMs: number): void {
    this.#addedMs += durationMs;
    for (const [run, dueMs] of [...this.#pending]) if (dueMs <= this.now()) run();
  }
}

/** A node before a backend that answers at once, and clients whose requests lie unread. */
export class UnreadRequests {
  readonly clock = new SteppedClock();
  /** Called when a request is about to be written. */
  onWrite: () => void = () => undefined;
  /** By attempt id: the time that the backend is told, and when it was told. */
  readonly #told = new Map<string, { readonly leftMs: number; readonly atMs: number }>();
  #running: RunningNode | undefined;
  #sentMs = 0;
  #count = 0;

  static async start(t: ExecutionContext): Promise<UnreadRequests> {
    const setup = new UnreadRequests();
    const { clock } = setup;
    const observed: RequestDialect = {
      ...dialect,
      forwardHeaders: (rawHeaders, facts) => {
        const id = rawHeaders[rawHeaders.indexOf('attempt-id') + 1] ?? '';
        setup.#told.set(id, { leftMs: facts.deadlineMs, atMs: clock.now() });
        setup.onWrite();
        return dialect.forwardHeaders(rawHeaders, facts);
      },
    };
    const options = { graceMs: GRACE_MS, clock, dialect: observed };
    const running = await startNode(t, options, (socket, id) => socket.write(success(id, 'answer')));
    t.teardown(() => running.node.stop());
    setup.#running = running;
    return setup;
  }

  /**
   * Sends requests, each on a new connection, while this thread stands still: when the function returns, all of them lie
   * in the kernel's queues and none has been read.
   */
  async send(t: ExecutionContext, count: number): Promise<void> {
    const state = new Int32Array(new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT));
    const requests = Array.from(
      { length: count },
      (_, index) =>
        `GET /x/ HTTP/1.1\r\nhost: ${HOST}\r\nattempt-id: r${index}\r\ndeadline: ${DEADLINE_MS}\r\n\r\n`,
    );
    const workerData = { port: this.#running?.port, requests, state };
    const worker = new Worker(CLIENTS, { eval: true, workerData });
    t.teardown(() => worker.terminate());
    // A thread takes long to start on a busy machine, and this one must not stand still for so long.
    await once(worker, 'message');
    Atomics.store(state, MAY_SEND, 1);
    Atomics.notify(state, MAY_SEND);
    for (let done = 0; done < count; done = Atomics.load(state, SENT)) Atomics.wait(state, SENT, done);
    this.#sentMs = this.clock.now();
    this.#count = count;
  }

  /** Resolves when the node has ended all requests. */
  async whenEnded(): Promise<void> {
    while (this.#ended() < this.#count) await new Promise((resolve) => setImmediate(resolve));
  }

  #ended(): number {
    const { lines = [] } = this.#running ?? {};
    return lines.filter((line) => line.includes('event=request.finished')).length;
  }

  /** Attempt ids of the requests that reached the backend. */
  get arrived(): readonly string[] {
    return this.#running?.attempts ?? [];
  }

  /** The time in milliseconds that the backend was told for a request. */
  toldMs(attemptId: string): number {
    return this.#told.get(attemptId)?.leftMs ?? 0;
  }

  /** The requests of which the backend was told more time than their clients had left, in words. */
  get toldTooMuch(): readonly string[] {
    return [...this.#told].flatMap(([id, { leftMs, atMs }]) => {
      const trueLeftMs = DEADLINE_MS - (atMs - this.#sentMs);
      if (leftMs <= Math.max(trueLeftMs, 0) + TOLERANCE_MS) return [];
      return [`${id}: the backend was told ${leftMs} ms, its client has ${Math.round(trueLeftMs)} ms left`];
    });
  }
}

/** Index of the number of requests that the kernel has in what the threads share, and of whether they may be sent. */
const SENT = 0;
const MAY_SEND = 1;

/** Code of the worker thread in which the clients live. It tells how many requests the kernel has, and keeps the connections open. */
const CLIENTS = `
  const { connect } = require('node:net');
  const { parentPort, workerData: { port, requests, state } } = require('node:worker_threads');
  parentPort.postMessage('ready');
  Atomics.wait(state, ${MAY_SEND}, 0);
  for (const request of requests) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(request, () => {
      Atomics.add(state, ${SENT}, 1);
      Atomics.notify(state, ${SENT});
    });
  }
`;
