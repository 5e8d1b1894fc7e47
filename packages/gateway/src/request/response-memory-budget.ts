import type { Clock } from '@canvasridge/clock';
import { LimitedEvents, type Telemetry } from '@canvasridge/telemetry';

/** What the connection of a backend that has to wait for the client may have read ahead. */
export const PAUSED_CONNECTION_BYTES = 65_536;
/** A response gives way only if its client has taken nothing for this long, in milliseconds. */
const MIN_STALL_MS = 1000;
/** The same while all of the memory is used. */
const MIN_STALL_AT_LIMIT_MS = 100;
/** Share of the memory from which on responses give way, so that others find room. */
const GIVING_WAY_SHARE = 2 / 3;
/** Share of the memory for what can't be written to clients yet. */
const KEPT_SHARE = 1 / 2;

/** Memory that one response holds. */
export interface ResponseMemory {
  /**
   * Sets what is kept of the response that can't be written to its client yet, in bytes, its backend's connection
   * included. Returns whether all responses together stay within their memory.
   */
  keep(bytes: number): boolean;
  /** Sets what waits for its client to read, in bytes. */
  wait(bytes: number): void;
  /** Call this when the client has taken some of what waits. */
  progressed(): void;
  /** Call this when nothing is held any more; any number of times. */
  release(): void;
}

/**
 * Limits the memory that the responses of a node hold at a time, whether backends have not sent them whole or clients
 * don't read them. If it runs out, the response whose client has taken nothing for the longest time gives way: a client
 * that reads, however slowly, is kept longer than one that does not.
 */
export class ResponseMemoryBudget {
  readonly #maxBytes: number;
  readonly #clock: Pick<Clock, 'now'>;
  readonly #events: LimitedEvents;
  /** Those that wait for their clients; the one whose client has taken nothing for the longest time first. */
  readonly #waiting = new Set<HeldResponse>();
  #heldBytes = 0;
  #keptBytes = 0;

  /** @param telemetry for `response.gave-way`: a response that was closed, and what it held */
  constructor(maxBytes: number, clock: Pick<Clock, 'now'>, telemetry: Pick<Telemetry, 'event'>) {
    this.#maxBytes = maxBytes;
    this.#clock = clock;
    this.#events = new LimitedEvents(telemetry, clock);
  }

  /** What all responses hold, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * @param requestId for the log
   * @param giveWay closes the response; called at most once, when it has been released
   */
  open(requestId: string, giveWay: () => void): ResponseMemory {
    const response: HeldResponse = {
      requestId,
      keptBytes: 0,
      waitingBytes: 0,
      progressMs: 0,
      giveWay,
      isReleased: false,
    };
    return {
      keep: (bytes) => {
        this.#change(response, bytes, response.waitingBytes);
        return this.#heldBytes <= this.#maxBytes && this.#keptBytes <= this.#maxBytes * KEPT_SHARE;
      },
      wait: (bytes) => this.#change(response, response.keptBytes, bytes),
      progressed: () => this.#markProgress(response),
      release: () => this.#release(response),
    };
  }

  #change(response: HeldResponse, keptBytes: number, waitingBytes: number): void {
    if (response.isReleased) return;
    const addedBytes = keptBytes + waitingBytes - response.keptBytes - response.waitingBytes;
    if (waitingBytes === 0) this.#waiting.delete(response);
    else if (response.waitingBytes === 0) this.#markWaiting(response);
    this.#keptBytes += keptBytes - response.keptBytes;
    response.keptBytes = keptBytes;
    response.waitingBytes = waitingBytes;
    this.#heldBytes += addedBytes;
    if (addedBytes > 0) this.#makeRoom();
  }

  #markProgress(response: HeldResponse): void {
    if (this.#waiting.delete(response)) this.#markWaiting(response);
  }

  #markWaiting(response: HeldResponse): void {
    response.progressMs = this.#clock.now();
    this.#waiting.add(response);
  }

  #makeRoom(): void {
    const nowMs = this.#clock.now();
    for (const response of this.#waiting) {
      if (this.#heldBytes <= this.#maxBytes * GIVING_WAY_SHARE) return;
      const stalledMs = nowMs - response.progressMs;
      const isAtLimit = this.#heldBytes > this.#maxBytes;
      if (stalledMs < (isAtLimit ? MIN_STALL_AT_LIMIT_MS : MIN_STALL_MS)) return;
      this.#record(response, stalledMs);
      this.#release(response);
      response.giveWay();
    }
  }

  #record({ requestId, keptBytes, waitingBytes }: HeldResponse, stalledMs: number): void {
    this.#events.event('warn', 'response.gave-way', 'clients', {
      request: requestId,
      waitingBytes,
      keptBytes,
      stalledMs: Math.round(stalledMs),
      allBytes: this.#heldBytes,
    });
  }

  #release(response: HeldResponse): void {
    if (response.isReleased) return;
    response.isReleased = true;
    this.#waiting.delete(response);
    this.#heldBytes -= response.keptBytes + response.waitingBytes;
    this.#keptBytes -= response.keptBytes;
  }
}

interface HeldResponse {
  readonly requestId: string;
  keptBytes: number;
  waitingBytes: number;
  /** When its client last took any of it; before that, when it began to wait. */
  progressMs: number;
  readonly giveWay: () => void;
  isReleased: boolean;
}
