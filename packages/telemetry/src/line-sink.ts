import { write } from 'node:fs';
import type { LineSubject } from './event-logger.js';

/** Lines of so long are written together: each write wakes a second thread. So much is lost with a process that is killed. */
const FLUSH_AFTER_MS = 200;
const REPORT_PERIOD_MS = 5000;

/**
 * Part of the lines that is kept for the state of the process: a leader under load writes some hundred lines of requests
 * a second, and its state has to be seen just then.
 */
const STATE_SHARE = 0.2;

/** Bounds of a {@link LineSink}. */
export interface LineSinkLimits {
  /** Bytes that may wait to be written. */
  readonly pendingBytes: number;
  readonly linesPerSecond: number;
}

export const DEFAULT_LINE_SINK_LIMITS: LineSinkLimits = { pendingBytes: 262_144, linesPerSecond: 400 };

/**
 * Writes lines to a file descriptor without ever blocking the process: writes go through the thread pool, one
 * at a time, and lines beyond a rate or a size that waits are dropped and counted. The count is written out.
 */
export class LineSink {
  readonly #descriptor: number;
  readonly #limits: LineSinkLimits;
  #pending: string[] = [];
  #pendingBytes = 0;
  #writing = false;
  #timer: NodeJS.Timeout | undefined;
  #allowance: number;
  #allowanceAtMs = performance.now();
  #dropped = 0;
  #droppedReportedMs = 0;

  constructor(descriptor: number, limits: LineSinkLimits = DEFAULT_LINE_SINK_LIMITS) {
    this.#descriptor = descriptor;
    this.#limits = limits;
    this.#allowance = limits.linesPerSecond;
  }

  /** Lines left out so far. */
  get dropped(): number {
    return this.#dropped;
  }

  writeLine(line: string, subject: LineSubject = 'state'): void {
    if (!this.#allowed(subject) || this.#pendingBytes + line.length > this.#limits.pendingBytes) {
      this.#dropped += 1;
      return;
    }
    this.#pending.push(line);
    this.#pendingBytes += line.length + 1;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_AFTER_MS);
  }

  /** Starts to write what waits. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#writing || this.#pending.length === 0) return;
    this.#reportDropped();
    const bytes = Buffer.from(`${this.#pending.join('\n')}\n`);
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#writeAll(bytes);
  }

  #writeAll(bytes: Buffer): void {
    this.#writing = true;
    write(this.#descriptor, bytes, 0, bytes.length, null, (error, written) => {
      const retryable = error?.code === 'EAGAIN';
      if (error !== null && !retryable) {
        this.#writing = false;
        return;
      }
      const rest = bytes.subarray(retryable ? 0 : written);
      if (rest.length === 0) {
        this.#writing = false;
        if (this.#pending.length > 0) this.flush();
      } else if (retryable) setTimeout(() => this.#writeAll(rest), FLUSH_AFTER_MS);
      else this.#writeAll(rest);
    });
  }

  #allowed(subject: LineSubject): boolean {
    const nowMs = performance.now();
    const { linesPerSecond } = this.#limits;
    const earned = ((nowMs - this.#allowanceAtMs) / 1000) * linesPerSecond;
    this.#allowance = Math.min(linesPerSecond, this.#allowance + earned);
    this.#allowanceAtMs = nowMs;
    const kept = subject === 'request' ? linesPerSecond * STATE_SHARE : 0;
    if (this.#allowance < 1 + kept) return false;
    this.#allowance -= 1;
    return true;
  }

  #reportDropped(): void {
    const nowMs = performance.now();
    if (this.#dropped === 0 || nowMs - this.#droppedReportedMs < REPORT_PERIOD_MS) return;
    this.#droppedReportedMs = nowMs;
    this.#pending.push(`level=warn event=log.dropped lines=${this.#dropped}`);
  }
}
