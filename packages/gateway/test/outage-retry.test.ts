import { Random } from '@canvasridge/clock';
import test from 'ava';
import { FixedOutageRetry, GrowingOutageRetry, type OutageView } from '../src/request/outage-retry.js';

const OUTAGES_MS = [200, 700, 2000, 3000, 6000];
const DEADLINES_MS = [3000, 4000, 12_000, 20_000];
const CALLERS = 1200;
const SEED = 1;
/** Callers wait for at most this share of the time that they have left. */
const CALLER_WAIT_SHARE = 1 / 3;
const FAILED_READ_MS = 60;
const FIRST_READ_MS = 250;

type Way = (view: OutageView, leftMs: number) => number;

interface Outcome {
  readonly served: number;
  readonly meanDelayMs: number;
}

const random = (): (() => number) => {
  const stream = Random.derive(SEED, 'spread');
  return () => stream.next();
};

function ways(): Record<string, Way> {
  const fixed = new FixedOutageRetry(500);
  const growing = new GrowingOutageRetry(random());
  return {
    fixed: () => fixed.retryAfterMs(),
    growing: (view) => growing.retryAfterMs(view),
    'share of deadline': (_, leftMs) => leftMs * CALLER_WAIT_SHARE,
  };
}

/** Callers arrive evenly during the outage, at nodes that started with it, and retry once. */
function play(way: Way, outageMs: number, deadlineMs: number): Outcome {
  const arrivals = Random.derive(SEED, `arrivals/${outageMs}/${deadlineMs}`);
  let served = 0;
  let delayMs = 0;
  for (let caller = 0; caller < CALLERS; caller += 1) {
    const arrivedMs = arrivals.next() * outageMs;
    const isReading = arrivedMs < FAILED_READ_MS;
    const toldMs = way(
      { lastedMs: arrivedMs, isReading, isCutOff: false, callerLeftMs: deadlineMs },
      deadlineMs,
    );
    const waitMs = Math.min(toldMs, deadlineMs * CALLER_WAIT_SHARE);
    if (arrivedMs + waitMs < outageMs) continue;
    served += 1;
    delayMs += waitMs;
  }
  return { served: served / CALLERS, meanDelayMs: served === 0 ? 0 : delayMs / served };
}

/** Best that a single retry can reach, whatever the caller is told. */
function attainable(outageMs: number, deadlineMs: number): number {
  return Math.min(1, (deadlineMs * CALLER_WAIT_SHARE) / outageMs);
}

function table(t: { log: (...line: string[]) => void }, way: string): Map<string, Outcome> {
  const outcomes = new Map<string, Outcome>();
  for (const outageMs of OUTAGES_MS) {
    const cells = DEADLINES_MS.map((deadlineMs) => {
      const outcome = play(ways()[way] as Way, outageMs, deadlineMs);
      outcomes.set(`${outageMs}/${deadlineMs}`, outcome);
      return `${(outcome.served * 100).toFixed(0)} % ${Math.round(outcome.meanDelayMs)} ms`;
    });
    t.log(`${way}, outage ${outageMs} ms: ${cells.join(' | ')}`);
  }
  return outcomes;
}

// Guards against Retry-After so short that the only retry of nearly all callers falls into the same outage.
test('a growing Retry-After serves no fewer callers than a fixed one in any outage, and most of those that can be served', (t) => {
  const fixed = table(t, 'fixed');
  const growing = table(t, 'growing');
  table(t, 'share of deadline');
  for (const outageMs of OUTAGES_MS) {
    for (const deadlineMs of DEADLINES_MS) {
      const key = `${outageMs}/${deadlineMs}`;
      const served = growing.get(key)?.served ?? 0;
      t.true(served >= (fixed.get(key)?.served ?? 1), key);
      t.true(served >= 0.6 * attainable(outageMs, deadlineMs), key);
    }
  }
});

// Guards against a node at its normal start keeping callers away for as long as in an outage.
test('while the first read is under way callers are told a short time, and enough for the read to end', (t) => {
  const retry = new GrowingOutageRetry(random());
  for (const lastedMs of [0, 100, 250, 499]) {
    const told = retry.retryAfterMs({ lastedMs, isReading: true, isCutOff: false, callerLeftMs: 3000 });
    t.true(told <= 1000 && lastedMs + told >= FIRST_READ_MS, `${lastedMs}`);
  }
});

// Guards against callers of a cut-off node waiting although other nodes can serve them.
test('a node that is cut off sends callers to other nodes at once, however long its outage', (t) => {
  const retry = new GrowingOutageRetry(random());
  t.true(retry.retryAfterMs({ lastedMs: 8000, isReading: false, isCutOff: true, callerLeftMs: 3000 }) < 50);
});

// Guards against all refused callers returning in the same instant.
test('callers that are told at the same moment are spread over the wait, which is bounded', (t) => {
  const retry = new GrowingOutageRetry(random());
  const told = Array.from({ length: 1000 }, () =>
    retry.retryAfterMs({ lastedMs: 2000, isReading: false, isCutOff: false, callerLeftMs: 3000 }),
  );
  const perTenth = Array.from(
    { length: 10 },
    (_, tenth) => told.filter((ms) => Math.floor((ms - 2000) / 200) === tenth).length,
  );
  t.true(Math.max(...perTenth) < 200, perTenth.join(' '));
  t.true(
    retry.retryAfterMs({ lastedMs: 1e9, isReading: false, isCutOff: false, callerLeftMs: 3000 }) <= 15_000,
  );
});
