import { getHeapStatistics } from 'node:v8';
import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from './telemetry.js';

/** Share of a limit from which on the use of memory is logged. */
const HIGH_SHARE = 0.8;
const LOG_INTERVAL_MS = 5000;
const BYTES_PER_MB = 1024 * 1024;

/** What a process uses of its memory, in bytes. */
export interface MemoryUse {
  /** Resident memory, buffers included. */
  readonly residentBytes: number;
  /** Objects in the heap of V8, dead ones included that have not been collected. */
  readonly heapBytes: number;
  /** The process ends when its heap reaches this limit. */
  readonly heapLimitBytes: number;
}

export function measureMemory(): MemoryUse {
  const heap = getHeapStatistics();
  return {
    residentBytes: process.memoryUsage.rss(),
    heapBytes: heap.used_heap_size,
    heapLimitBytes: heap.heap_size_limit,
  };
}

/**
 * Logs `process.memory` while the process is close to a limit of its memory: neither the end of the heap nor a kill by
 * the operating system leaves a line.
 */
export class MemoryWatch {
  readonly #name: string;
  readonly #limitBytes: number;
  readonly #clock: Pick<Clock, 'now'>;
  readonly #telemetry: Pick<Telemetry, 'event'>;
  readonly #measure: () => MemoryUse;
  #loggedMs = -Infinity;

  constructor(options: {
    /** Name of the process, for the log line. */
    readonly name: string;
    /** Memory that the process may use. */
    readonly limitBytes: number;
    readonly clock: Pick<Clock, 'now'>;
    readonly telemetry: Pick<Telemetry, 'event'>;
    readonly measure?: () => MemoryUse;
  }) {
    this.#name = options.name;
    this.#limitBytes = options.limitBytes;
    this.#clock = options.clock;
    this.#telemetry = options.telemetry;
    this.#measure = options.measure ?? measureMemory;
  }

  /** Measures, and logs if the use is high; at most once in five seconds. */
  check(): MemoryUse {
    const use = this.#measure();
    const isHigh =
      use.residentBytes > this.#limitBytes * HIGH_SHARE || use.heapBytes > use.heapLimitBytes * HIGH_SHARE;
    const nowMs = this.#clock.now();
    if (!isHigh || nowMs - this.#loggedMs < LOG_INTERVAL_MS) return use;
    this.#loggedMs = nowMs;
    this.#telemetry.event('warn', 'process.memory', this.#name, {
      residentMb: toMb(use.residentBytes),
      limitMb: toMb(this.#limitBytes),
      heapMb: toMb(use.heapBytes),
      heapLimitMb: toMb(use.heapLimitBytes),
    });
    return use;
  }
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}
