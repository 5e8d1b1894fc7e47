/**
 * `limited`: connections that are open go on, but no new ones can be opened; `lost`: nothing gets through.
 */
export type PathState = 'working' | 'limited' | 'lost';

/** This node's paths to the backends of one service. Times are those of the node's clock, in milliseconds. */
export class ServicePath {
  /** When anything was last received from any of the backends. */
  #receivedMs = -Infinity;
  #waiting = 0;
  #waitingSinceMs = 0;
  #state: PathState = 'working';
  #impairedSinceMs = 0;
  /** Checks since anything was received that found the path working. */
  #vainChecks = 0;
  #confirmedMs = -Infinity;

  get state(): PathState {
    return this.#state;
  }

  /** When the path last stopped working. */
  get impairedSinceMs(): number {
    return this.#impairedSinceMs;
  }

  get isWaiting(): boolean {
    return this.#waiting > 0;
  }

  /** A request is sent to one of the backends. */
  beginWait(nowMs: number): void {
    if (this.#waiting === 0) this.#waitingSinceMs = nowMs;
    this.#waiting += 1;
  }

  endWait(): void {
    this.#waiting = Math.max(this.#waiting - 1, 0);
  }

  received(nowMs: number): void {
    this.#receivedMs = nowMs;
    this.#vainChecks = 0;
  }

  receivedWithin(spanMs: number, nowMs: number): boolean {
    return nowMs - this.#receivedMs <= spanMs;
  }

  /** How long requests have been waiting while nothing was received; 0 if none is waiting. */
  silentMs(nowMs: number): number {
    return this.#waiting === 0 ? 0 : nowMs - Math.max(this.#receivedMs, this.#waitingSinceMs);
  }

  /** Silence after which the path is to be checked: longer after each check that found nothing wrong. */
  checkAfterMs(firstMs: number, maxMs: number): number {
    return Math.min(firstMs * 2 ** this.#vainChecks, maxMs);
  }

  /** A check found the path working. */
  confirm(nowMs: number): void {
    this.#vainChecks += 1;
    this.#receivedMs = nowMs;
    this.#confirmedMs = nowMs;
  }

  /** Whether a check found the path working within this time. */
  confirmedWithin(spanMs: number, nowMs: number): boolean {
    return nowMs - this.#confirmedMs <= spanMs;
  }

  impair(state: 'limited' | 'lost', nowMs: number): void {
    if (this.#state === 'working') this.#impairedSinceMs = nowMs;
    this.#state = state;
  }

  regain(nowMs: number): void {
    this.#state = 'working';
    this.received(nowMs);
  }
}
