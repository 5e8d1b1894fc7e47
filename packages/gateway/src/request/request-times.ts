import type { HttpRoute } from '@canvasridge/serving';
import type { ExchangeContext } from './exchange-context.js';

/** How old a request is, and how much time is left for it. All times are in milliseconds. */
export class RequestTimes {
  /** When the request was read. */
  readonly arrivedMs: number;
  /** How long it may have lain unread before. */
  readonly unreadMs: number;
  /** Time until the node's stop deadline when the request arrived; Infinity unless the node is stopping. */
  readonly #stopsInMs: number;
  readonly #clock: ExchangeContext['clock'];
  readonly #deadlineMs: number;

  /**
   * @param deadlineMs age at which the client gives up; undefined if it did not say
   * @param waitedMs how long ago the request was read
   */
  constructor(
    { clock, unreadMs, stopsInMs }: Pick<ExchangeContext, 'clock' | 'unreadMs' | 'stopsInMs'>,
    deadlineMs: number | undefined,
    waitedMs = 0,
  ) {
    this.#clock = clock;
    this.arrivedMs = clock.now() - waitedMs;
    this.unreadMs = unreadMs();
    this.#stopsInMs = stopsInMs();
    this.#deadlineMs = deadlineMs ?? Infinity;
  }

  get ageMs(): number {
    return this.#clock.now() - this.arrivedMs;
  }

  timeoutMs(route: HttpRoute): number {
    return Math.min(route.timeoutMs, this.#deadlineMs, this.#stopsInMs);
  }

  remainingMs(route: HttpRoute): number {
    return this.timeoutMs(route) - this.ageMs;
  }
}
