import test from 'ava';
import { ContinuousClock, SuspendableClock, VirtualClock, type Clock, type Timer } from '../src/index.js';

const LONG_MS = 60_000;

/** Virtual time that can go on without an event, as while a process is held up. */
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

/** A machine whose time of day can be set, and whose uptime is as told. */
class Machine implements Clock {
  readonly base = new SkippingClock();
  readonly #steady = new SuspendableClock(this.base);
  readonly continuous: ContinuousClock;
  /** How long the process is held up before it reads the time of day next. */
  holdUpOnceMs = 0;
  #setMs = 0;
  readonly #uptime: (trueMs: number) => number;

  constructor(uptime: (trueMs: number) => number = (trueMs) => trueMs) {
    this.#uptime = uptime;
    this.continuous = new ContinuousClock(this);
  }

  now(): number {
    return this.#steady.now();
  }

  wallTime(): number {
    this.base.skip(this.holdUpOnceMs);
    this.holdUpOnceMs = 0;
    return this.base.wallTime() + this.#setMs;
  }

  uptimeMs(): number {
    return this.#uptime(this.base.now());
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    return this.#steady.setTimer(delayMs, callback);
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return this.#steady.sleep(delayMs, signal);
  }

  setWall(byMs: number): void {
    this.#setMs += byMs;
  }

  /** Runs, with a look at the time each tenth of a second. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.base.now() + durationMs;
    while (this.base.now() < endMs) {
      await this.base.runUntil(Math.min(this.base.now() + 100, endMs));
      this.continuous.now();
    }
  }

  async suspend(durationMs: number): Promise<void> {
    this.#steady.suspend();
    await this.base.runUntil(this.base.now() + durationMs);
    this.#steady.resume();
  }
}

/** Uptimes that can't be believed: of another machine whose clock runs at another rate, and one that stands still. */
const UNBELIEVABLE: readonly ((trueMs: number) => number)[] = [(trueMs) => 0.4 * trueMs, () => 0];

test('a suspension is seen by the first look after it, by itself and with a time of day that is set meanwhile', async (t) => {
  const machine = new Machine();
  await machine.run(LONG_MS);
  await machine.suspend(8000);
  t.is(machine.continuous.now(), LONG_MS + 8000);
  await machine.run(2000);
  await machine.suspend(4000);
  machine.setWall(-3000);
  t.is(Math.round(machine.continuous.now()), LONG_MS + 14_000);
});

test('a time of day that is set is no suspension where the uptime goes on evenly', async (t) => {
  const machine = new Machine();
  await machine.run(LONG_MS);
  machine.setWall(2400);
  t.is(machine.continuous.now(), LONG_MS);
  machine.setWall(-2400);
  await machine.run(5000);
  t.is(machine.continuous.now(), LONG_MS + 5000);
});

for (const uptime of UNBELIEVABLE) {
  test(`without an uptime that can be believed (${String(uptime)}) the time of day tells`, async (t) => {
    const machine = new Machine(uptime);
    await machine.run(LONG_MS);
    t.is(machine.continuous.now(), LONG_MS);
    await machine.suspend(8000);
    t.is(machine.continuous.now(), LONG_MS + 8000);
    machine.setWall(-2400);
    t.is(machine.continuous.now(), LONG_MS + 8000, 'it never goes back');
  });
}

test('a drift of the time of day adds nothing', async (t) => {
  const machine = new Machine();
  for (let second = 0; second < 120; second += 1) {
    machine.setWall(0.5);
    await machine.run(1000);
  }
  t.is(machine.continuous.now(), 120_000);
});

test('a process that is held up between reading the two clocks sees no suspension', async (t) => {
  const machine = new Machine(() => 0);
  await machine.run(5000);
  machine.holdUpOnceMs = 400;
  t.is(machine.continuous.now(), 5400);
  t.is(machine.continuous.suspendedMs, 0);
});
