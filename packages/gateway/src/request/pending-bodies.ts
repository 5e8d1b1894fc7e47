import type { Clock } from '@canvasridge/clock';
import type { LimitedEvents } from '@canvasridge/telemetry';
import type { BodyMemoryBudget } from './body-memory-budget.js';

/** A body without progress for this long may have to give way, not counting the time in which nothing was read. */
const STALLED_MS = 1000;
/** Progress is this share of the memory that a body holds, so that single bytes don't keep it. */
const PROGRESS_SHARE = 1 / 32;
/** Length of request ids in log lines: clients choose them. */
const MAX_LOGGED_ID = 64;

/**
 * What becomes of a body for which there is no memory, or whose memory another one needs:
 * - `refused`: no others have stalled that hold enough
 * - `given-up`: it has stalled, and its memory goes to another body
 */
type BodyOutcome = 'refused' | 'given-up';

export interface PendingBodiesOptions {
  readonly memory: BodyMemoryBudget;
  readonly clock: Pick<Clock, 'now'>;
  /** How long input may have lain unread because the process was held up, in milliseconds. */
  readonly unreadMs: () => number;
  /** For `request.body-refused` and `request.body-given-up`. */
  readonly events: Pick<LimitedEvents, 'event'>;
}

/**
 * Shares the memory for request bodies out among those that are arriving. If it is used up, the pending bodies that have
 * made no progress for longest give way to one that arrives, provided that they have stalled and that this makes enough
 * room. Whole bodies keep their memory until it is released.
 */
export class PendingBodies {
  readonly #options: PendingBodiesOptions;
  /** Those that hold memory, in the order of their last progress, the earliest first. */
  readonly #pending = new Set<PendingBody>();

  constructor(options: PendingBodiesOptions) {
    this.#options = options;
  }

  /**
   * @param id of the request, for log lines
   * @param onGivenUp called when the memory of the body was taken back, before its end
   */
  open(id: string, onGivenUp: () => void): PendingBody {
    const { clock, memory } = this.#options;
    const body: PendingBody = new PendingBody(id, clock, {
      reserve: (bytes, bodyBytes) => this.#reserve(body, bytes, bodyBytes),
      progressed: () => {
        this.#pending.delete(body);
        this.#pending.add(body);
      },
      complete: () => void this.#pending.delete(body),
      release: (bytes) => memory.release(bytes),
      givenUp: onGivenUp,
    });
    return body;
  }

  #reserve(body: PendingBody, bytes: number, bodyBytes: number): boolean {
    const { memory } = this.#options;
    const lackingBytes = memory.lackingBytes(bytes, bodyBytes);
    if (lackingBytes > 0) {
      const stalled = this.#stalledThatHold(lackingBytes, body);
      if (stalled === undefined) this.#log(body, 'refused');
      for (const other of stalled ?? []) {
        this.#log(other, 'given-up');
        other.giveUp();
      }
    }
    if (!memory.reserve(bytes, bodyBytes)) return false;
    this.#pending.add(body);
    return true;
  }

  /** The first ones to give way that hold this much together; undefined if all that have stalled hold less. */
  #stalledThatHold(bytes: number, besides: PendingBody): PendingBody[] | undefined {
    const stalledMs = STALLED_MS + this.#options.unreadMs();
    const chosen: PendingBody[] = [];
    let heldBytes = 0;
    for (const body of this.#pending) {
      if (body.idleMs < stalledMs) break;
      if (body === besides) continue;
      chosen.push(body);
      heldBytes += body.heldBytes;
      if (heldBytes >= bytes) return chosen;
    }
    return undefined;
  }

  #log({ id, heldBytes, ageMs, idleMs }: PendingBody, outcome: BodyOutcome): void {
    this.#options.events.event('info', `request.body-${outcome}`, 'bodies', {
      id: id.slice(0, MAX_LOGGED_ID),
      heldBytes,
      ageMs: Math.round(ageMs),
      idleMs: Math.round(idleMs),
      outcome,
      pending: this.#pending.size,
      reservedBytes: this.#options.memory.reservedBytes,
    });
  }
}

/** What a body asks of those that share the memory with it. */
interface BodyShare {
  readonly reserve: (bytes: number, bodyBytes: number) => boolean;
  readonly progressed: () => void;
  readonly complete: () => void;
  readonly release: (bytes: number) => void;
  readonly givenUp: () => void;
}

/** The memory of one body, from its first bytes until it is released. */
export class PendingBody {
  readonly id: string;
  readonly #clock: Pick<Clock, 'now'>;
  readonly #share: BodyShare;
  readonly #openedMs: number;
  #progressMs: number;
  #bytesSinceProgress = 0;
  #heldBytes = 0;

  constructor(id: string, clock: Pick<Clock, 'now'>, share: BodyShare) {
    this.id = id;
    this.#clock = clock;
    this.#share = share;
    this.#openedMs = clock.now();
    this.#progressMs = this.#openedMs;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Time since the body was opened, in milliseconds. */
  get ageMs(): number {
    return this.#clock.now() - this.#openedMs;
  }

  /** Time without progress, in milliseconds. */
  get idleMs(): number {
    return this.#clock.now() - this.#progressMs;
  }

  /**
   * Reserves memory for another part of the body; returns false if there is not enough.
   * @param bodyBytes size of the whole body, as far as it is known
   */
  reserve(bytes: number, bodyBytes: number): boolean {
    if (!this.#share.reserve(bytes, bodyBytes)) return false;
    if (this.#heldBytes === 0) this.#progressMs = this.#clock.now();
    this.#heldBytes += bytes;
    return true;
  }

  /** Counts bytes of the body that have arrived, after their memory was reserved. */
  received(bytes: number): void {
    this.#bytesSinceProgress += bytes;
    if (this.#bytesSinceProgress < this.#heldBytes * PROGRESS_SHARE) return;
    this.#bytesSinceProgress = 0;
    this.#progressMs = this.#clock.now();
    this.#share.progressed();
  }

  /** The body has arrived as a whole: its memory is not taken back. */
  complete(): void {
    this.#share.complete();
  }

  /** Gives the memory back; nothing happens if that was done. */
  release(): void {
    this.#share.complete();
    this.#share.release(this.#heldBytes);
    this.#heldBytes = 0;
  }

  giveUp(): void {
    this.release();
    this.#share.givenUp();
  }
}
