import type { Clock, Timer } from './clock.js';

/** Larger than the steps of the clocks (1 and 10 ms) and what they drift apart in a second. */
const TOLERANCE_MS = 30;
/** Period in which drift is taken up. */
const CHECK_MS = 1000;
/** After so many looks in which it kept step, the machine's uptime is believed: in some containers it is another machine's. */
const BELIEVED_AFTER = 30;

/**
 * Time that goes on while the machine is suspended, for what this process may do or believe until a time has passed: its own
 * leases, the age of what it was told. The steady clock (CLOCK_MONOTONIC), on which timers run, stands still meanwhile. The
 * time of day does not, but can be set, and the machine's uptime does not, but is dear to read. So the time of day is looked
 * at each time: where it has gone on by more than the steady clock, the uptime tells whether it was set. Where the uptime
 * can't be believed, it counts as suspended: to take an own right for ended that has not costs its renewal, the other way
 * round it is used by two. So this is never less than the time that has passed, and the steady clock never more: to wait
 * until a right of others has ended, take that one.
 */
export class ContinuousClock implements Clock {
  readonly #base: Clock;
  #suspendedMs = 0;
  /** By how much the time of day, and the uptime, were ahead of the steady clock at the last look. */
  #wallLeadMs: number;
  #uptimeLeadMs: number | undefined;
  #uptimeKeptStep = 0;
  #checkedMs: number;

  constructor(base: Clock) {
    this.#base = base;
    const steadyMs = base.now();
    this.#checkedMs = steadyMs;
    this.#wallLeadMs = base.wallTime() - steadyMs;
    this.#uptimeLeadMs = this.#readUptimeLead(steadyMs);
  }

  now(): number {
    const { steadyMs, wallGapMs } = this.#look();
    const isGap = Math.abs(wallGapMs) > TOLERANCE_MS;
    if (isGap || steadyMs - this.#checkedMs >= CHECK_MS) this.#check();
    return this.#base.now() + this.#suspendedMs;
  }

  /** For how long the machine was suspended so far, in milliseconds; rises when a suspension is noticed. */
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

  #look(): { readonly steadyMs: number; readonly wallGapMs: number } {
    const steadyMs = this.#base.now();
    return { steadyMs, wallGapMs: this.#base.wallTime() - steadyMs - this.#wallLeadMs };
  }

  /** Looks once more: a process that was held up between reading the two clocks has seen a gap that there is not. */
  #check(): void {
    const { steadyMs, wallGapMs } = this.#look();
    this.#checkedMs = steadyMs;
    this.#wallLeadMs += wallGapMs;
    this.#suspendedMs += this.#suspendedSince(Math.abs(wallGapMs) > TOLERANCE_MS ? wallGapMs : 0, steadyMs);
  }

  #suspendedSince(wallGapMs: number, steadyMs: number): number {
    const isBelieved = this.#uptimeKeptStep >= BELIEVED_AFTER;
    const leadMs = this.#readUptimeLead(steadyMs);
    const uptimeGapMs = leadMs === undefined ? Infinity : leadMs - (this.#uptimeLeadMs ?? leadMs);
    this.#uptimeLeadMs = leadMs;
    const keptStep = Math.abs(uptimeGapMs) <= TOLERANCE_MS;
    const agrees = Math.abs(uptimeGapMs - wallGapMs) <= 2 * TOLERANCE_MS;
    this.#uptimeKeptStep = keptStep || agrees ? this.#uptimeKeptStep + 1 : 0;
    if (!isBelieved) return Math.max(0, wallGapMs);
    return keptStep ? 0 : Math.max(0, uptimeGapMs);
  }

  #readUptimeLead(steadyMs: number): number | undefined {
    const uptimeMs = this.#base.uptimeMs?.();
    return uptimeMs === undefined ? undefined : uptimeMs - steadyMs;
  }
}
