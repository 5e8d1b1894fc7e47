import type { Clock, Timer } from './clock.js';

/**
 * Differences between the clocks of up to this are ignored: it is larger than the clocks' resolutions (1 and
 * 10 ms) and their relative drift in one second.
 */
const TOLERANCE_MS = 30;
/** Interval at which the offsets between the clocks are updated, so that drift does not accumulate. */
const CHECK_INTERVAL_MS = 1000;
/**
 * The uptime is trusted after this many consistent checks in a row: in some containers it is that of another
 * machine.
 */
const TRUSTED_AFTER_CHECKS = 30;

/**
 * Time that continues while the machine is suspended, like CLOCK_BOOTTIME. It is meant for the expiry of what
 * this process holds, such as its own leases, and for the age of received data.
 *
 * The monotonic clock (CLOCK_MONOTONIC), which drives timers, stops during a suspension. The wall clock
 * continues but can be set, and the uptime of the machine continues but is expensive to read. So each call
 * compares the wall clock with the monotonic clock. If it has advanced by more, the uptime is read to tell a
 * suspension from a wall clock that was set. If the uptime cannot be trusted, a suspension is assumed: taking
 * an own lease for expired too early only costs its renewal, but too late, two processes would use it.
 *
 * So this clock never advances by less than the real time, and the monotonic clock never by more. To wait
 * until the lease of another process has expired, use the monotonic clock.
 */
export class ContinuousClock implements Clock {
  readonly #base: Clock;
  #suspendedMs = 0;
  /** Offsets of the wall clock and of the uptime from the monotonic clock at the last check. */
  #wallOffsetMs: number;
  #uptimeOffsetMs: number | undefined;
  #consistentChecks = 0;
  #checkedMs: number;

  constructor(base: Clock) {
    this.#base = base;
    const monotonicMs = base.now();
    this.#checkedMs = monotonicMs;
    this.#wallOffsetMs = base.wallTime() - monotonicMs;
    this.#uptimeOffsetMs = this.#readUptimeOffset(monotonicMs);
  }

  now(): number {
    const { monotonicMs, wallGapMs } = this.#compareClocks();
    const isGap = Math.abs(wallGapMs) > TOLERANCE_MS;
    if (isGap || monotonicMs - this.#checkedMs >= CHECK_INTERVAL_MS) this.#check();
    return this.#base.now() + this.#suspendedMs;
  }

  /** Total time in milliseconds for which the machine was suspended, as far as noticed. */
  get suspendedMs(): number {
    this.now();
    return this.#suspendedMs;
  }

  wallTime(): number {
    return this.#base.wallTime();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    return this.#base.setTimer(delayMs, callback);
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return this.#base.sleep(delayMs, signal);
  }

  #compareClocks(): { readonly monotonicMs: number; readonly wallGapMs: number } {
    const monotonicMs = this.#base.now();
    return { monotonicMs, wallGapMs: this.#base.wallTime() - monotonicMs - this.#wallOffsetMs };
  }

  /**
   * Compares the clocks again: a process that was delayed between reading the two has seen a gap that does
   * not exist.
   */
  #check(): void {
    const { monotonicMs, wallGapMs } = this.#compareClocks();
    this.#checkedMs = monotonicMs;
    this.#wallOffsetMs += wallGapMs;
    this.#suspendedMs += this.#suspendedSince(
      Math.abs(wallGapMs) > TOLERANCE_MS ? wallGapMs : 0,
      monotonicMs,
    );
  }

  #suspendedSince(wallGapMs: number, monotonicMs: number): number {
    const isUptimeTrusted = this.#consistentChecks >= TRUSTED_AFTER_CHECKS;
    const offsetMs = this.#readUptimeOffset(monotonicMs);
    const uptimeGapMs = offsetMs === undefined ? Infinity : offsetMs - (this.#uptimeOffsetMs ?? offsetMs);
    this.#uptimeOffsetMs = offsetMs;
    const isUptimeSteady = Math.abs(uptimeGapMs) <= TOLERANCE_MS;
    const agreesWithWall = Math.abs(uptimeGapMs - wallGapMs) <= 2 * TOLERANCE_MS;
    this.#consistentChecks = isUptimeSteady || agreesWithWall ? this.#consistentChecks + 1 : 0;
    if (!isUptimeTrusted) return Math.max(0, wallGapMs);
    return isUptimeSteady ? 0 : Math.max(0, uptimeGapMs);
  }

  #readUptimeOffset(monotonicMs: number): number | undefined {
    const uptimeMs = this.#base.uptimeMs?.();
    return uptimeMs === undefined ? undefined : uptimeMs - monotonicMs;
  }
}
