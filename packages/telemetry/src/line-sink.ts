import { write, writeSync } from 'node:fs';
import type { LineCategory } from './event-logger.js';

/**
 * Lines are batched for this long, since each write wakes a thread of libuv's thread pool. A process that is
 * killed loses the lines of about this time, and more if a write is slow or has to be retried.
 */
const FLUSH_AFTER_MS = 200;
const DROP_REPORT_INTERVAL_MS = 5000;

/**
 * Fraction of the line rate that is reserved for lines about the state of the process: a leader under load
 * logs some hundred request lines a second, and that is when its state has to stay visible.
 */
const STATE_LINE_FRACTION = 0.2;

/** Bounds of a {@link LineSink}. */
export interface LineSinkLimits {
  /** Maximum size of the lines that wait to be written, in bytes. */
  readonly pendingBytes: number;
  readonly linesPerSecond: number;
}

export const DEFAULT_LINE_SINK_LIMITS: LineSinkLimits = { pendingBytes: 262_144, linesPerSecond: 400 };

/**
 * Writes lines to a file descriptor without ever blocking the process: writes go through the thread pool, one
 * at a time. Lines beyond the rate limit, or beyond the limit of waiting bytes, are dropped and counted; the
 * count is logged as `log.dropped`.
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
  #droppedReportedAtMs = 0;

  constructor(descriptor: number, limits: LineSinkLimits = DEFAULT_LINE_SINK_LIMITS) {
    this.#descriptor = descriptor;
    this.#limits = limits;
    this.#allowance = limits.linesPerSecond;
  }

  /** Number of lines dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  writeLine(line: string, category: LineCategory = 'state'): void {
    if (!this.#takeAllowance(category) || this.#pendingBytes + line.length > this.#limits.pendingBytes) {
      this.#dropped += 1;
      return;
    }
    this.#pending.push(line);
    this.#pendingBytes += line.length + 1;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_AFTER_MS);
  }

  /** Starts to write the waiting lines, unless a write is running. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#writing || this.#pending.length === 0) return;
    this.#reportDropped();
    const lines = this.#pending.length;
    const bytes = Buffer.from(`${this.#pending.join('\n')}\n`);
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#writeAll(bytes, lines);
  }

  /**
   * Writes the waiting lines before it returns, for a process that is about to exit. What a full pipe does not take
   * is lost.
   */
  flushSync(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#pending.length === 0) return;
    const bytes = Buffer.from(`${this.#pending.join('\n')}\n`);
    this.#pending = [];
    this.#pendingBytes = 0;
    try {
      for (let written = 0; written < bytes.length;) written += writeSync(this.#descriptor, bytes, written);
    } catch {
      this.#dropped += 1;
    }
  }

  /** @param lines that are lost if the descriptor can't be written to */
  #writeAll(bytes: Buffer, lines: number): void {
    this.#writing = true;
    write(this.#descriptor, bytes, 0, bytes.length, null, (error, written) => {
      const retryable = error?.code === 'EAGAIN';
      if (error !== null && !retryable) {
        this.#dropped += lines;
        this.#writing = false;
        return;
      }
      const rest = bytes.subarray(retryable ? 0 : written);
      if (rest.length === 0) {
        this.#writing = false;
        if (this.#pending.length > 0) this.flush();
      } else if (retryable) setTimeout(() => this.#writeAll(rest, lines), FLUSH_AFTER_MS);
      else this.#writeAll(rest, lines);
    });
  }

  #takeAllowance(category: LineCategory): boolean {
    const nowMs = performance.now();
    const { linesPerSecond } = this.#limits;
    const earned = ((nowMs - this.#allowanceAtMs) / 1000) * linesPerSecond;
    this.#allowance = Math.min(linesPerSecond, this.#allowance + earned);
    this.#allowanceAtMs = nowMs;
    const reserved = category === 'request' ? linesPerSecond * STATE_LINE_FRACTION : 0;
    if (this.#allowance < 1 + reserved) return false;
    this.#allowance -= 1;
    return true;
  }

  #reportDropped(): void {
    const nowMs = performance.now();
    if (this.#dropped === 0 || nowMs - this.#droppedReportedAtMs < DROP_REPORT_INTERVAL_MS) return;
    this.#droppedReportedAtMs = nowMs;
    this.#pending.push(`level=warn event=log.dropped lines=${this.#dropped}`);
  }
}
