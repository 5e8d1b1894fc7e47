import test from 'ava';
import { ContinuousClock, SuspendableClock, VirtualClock, type Clock, type Timer } from '../src/index.js';

const LONG_MS = 60_000;

/** Virtual time that can advance without running timers, as while a process is delayed. */
class SkippingClock extends VirtualClock {
  #skippedMs = 0;

  skip(byMs: number): void {
    this.#skippedMs += byMs;
  }

  override now(): number {
    return super.now() + this.#skippedMs;
  }

  override wallTime(): number {
    return super.wallTime() + this.#skippedMs;
  }
}

/** A machine whose wall clock can be set, and whose uptime is computed by a given function. */
class Machine implements Clock {
  readonly base = new SkippingClock();
  readonly #monotonic = new SuspendableClock(this.base);
  readonly continuous: ContinuousClock;
  /** Time by which the process is delayed before its next read of the wall clock. */
  delayOnceMs = 0;
  #wallAdjustmentMs = 0;
  readonly #uptime: (trueMs: number) => number;

  constructor(uptime: (trueMs: number) => number = (trueMs) => trueMs) {
    this.#uptime = uptime;
    this.continuous = new ContinuousClock(this);
  }

  now(): number {
    return this.#monotonic.now();
  }

  wallTime(): number {
    this.base.skip(this.delayOnceMs);
    this.delayOnceMs = 0;
    return this.base.wallTime() + this.#wallAdjustmentMs;
  }

  uptimeMs(): number {
    return this.#uptime(this.base.now());
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    return this.#monotonic.setTimer(delayMs, callback);
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return this.#monotonic.sleep(delayMs, signal);
  }

  adjustWallClock(byMs: number): void {
    this.#wallAdjustmentMs += byMs;
  }

  /** Runs for a time and reads the continuous clock every 100 ms. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.base.now() + durationMs;
    while (this.base.now() < endMs) {
      await this.base.runUntil(Math.min(this.base.now() + 100, endMs));
      this.continuous.now();
    }
  }

  async suspend(durationMs: number): Promise<void> {
    this.#monotonic.suspend();
    await this.base.runUntil(this.base.now() + durationMs);
    this.#monotonic.resume();
  }
}

/**
 * Uptimes that cannot be trusted: that of another machine whose clock runs at another rate, and one that
 * stands still.
 */
const UNTRUSTED_UPTIMES: readonly ((trueMs: number) => number)[] = [(trueMs) => 0.4 * trueMs, () => 0];

test('the first read after a suspension includes it, also if the wall clock was set meanwhile', async (t) => {
  const machine = new Machine();
  await machine.run(LONG_MS);
  await machine.suspend(8000);
  t.is(machine.continuous.now(), LONG_MS + 8000);
  await machine.run(2000);
  await machine.suspend(4000);
  machine.adjustWallClock(-3000);
  t.is(Math.round(machine.continuous.now()), LONG_MS + 14_000);
});

test('setting the wall clock does not count as a suspension if the uptime continues evenly', async (t) => {
  const machine = new Machine();
  await machine.run(LONG_MS);
  machine.adjustWallClock(2400);
  t.is(machine.continuous.now(), LONG_MS);
  machine.adjustWallClock(-2400);
  await machine.run(5000);
  t.is(machine.continuous.now(), LONG_MS + 5000);
});

for (const uptime of UNTRUSTED_UPTIMES) {
  test(`with an untrusted uptime (${String(uptime)}), the wall clock decides`, async (t) => {
    const machine = new Machine(uptime);
    await machine.run(LONG_MS);
    t.is(machine.continuous.now(), LONG_MS);
    await machine.suspend(8000);
    t.is(machine.continuous.now(), LONG_MS + 8000);
    machine.adjustWallClock(-2400);
    t.is(machine.continuous.now(), LONG_MS + 8000, 'it never goes back');
  });
}

test('a drift of the wall clock does not count as a suspension', async (t) => {
  const machine = new Machine();
  for (let second = 0; second < 120; second += 1) {
    machine.adjustWallClock(0.5);
    await machine.run(1000);
  }
  t.is(machine.continuous.now(), 120_000);
});

test('a delay between reading the two clocks does not count as a suspension', async (t) => {
  const machine = new Machine(() => 0);
  await machine.run(5000);
  machine.delayOnceMs = 400;
  t.is(machine.continuous.now(), 5400);
  t.is(machine.continuous.suspendedMs, 0);
});
