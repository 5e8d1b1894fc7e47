import test from 'ava';
import { delaysStreams, engineCost, largestTerm, totalMs, type CostInputs } from '../src/engine-cost.js';
import { chooseLowest } from '../src/lowest-cost.js';
import type { DisabledMechanisms } from '../src/index.js';

const INPUTS: CostInputs = {
  backlogMs: 40,
  ownReadMs: 50,
  loadMs: 0,
  running: 5,
  pace: 1,
  streamMs: 1500,
  eventMs: 45,
  streams: 5,
  shortestGapMs: 300,
  recentWorkMs: 300,
  recentSpanMs: 2000,
  isAvoided: false,
  crossesZone: true,
  load: undefined,
};
const ALL_ON: DisabledMechanisms = new Set();
const ALL_OFF: DisabledMechanisms = new Set(['engine-pace', 'stream-pauses', 'own-zone']);

function costMs(changes: Partial<CostInputs>): number {
  return totalMs(engineCost({ ...INPUTS, ...changes }, ALL_ON));
}

test('with its mechanisms disabled, the cost is the backlog and a part for each running request', (t) => {
  t.is(totalMs(engineCost({ ...INPUTS, pace: 2 }, ALL_OFF)), 40 + 5 * 8);
  const load = { evictedRate: 2, loading: 1 };
  t.is(
    totalMs(engineCost({ ...INPUTS, loadMs: 260, load }, ALL_OFF)),
    260 + 5 * 8 + 2 * 25 + 40 + 0.15 * 300,
  );
});

test('a slow engine, many streams, near objectives, recent prompts and another zone each cost more', (t) => {
  const cost = costMs({});
  t.true(costMs({ pace: 2, ownReadMs: 100 }) > cost);
  t.true(costMs({ streams: 10 }) > cost);
  t.true(costMs({ shortestGapMs: 150 }) > cost);
  t.true(costMs({ recentWorkMs: 900 }) > cost);
  t.true(costMs({ crossesZone: false }) < cost);
  t.true(costMs({ isAvoided: true }) > cost + 100);
});

test('a crossing between zones is worth less than a short backlog', (t) => {
  t.true(costMs({ crossesZone: true }) < costMs({ crossesZone: false, backlogMs: 60 }));
});

test('a long prompt is expected to delay the streams of a slow engine only', (t) => {
  t.false(delaysStreams(INPUTS));
  t.true(delaysStreams({ ...INPUTS, ownReadMs: 300 }));
  t.false(delaysStreams({ ...INPUTS, ownReadMs: 300, streams: 0, shortestGapMs: Infinity }));
});

// Guards against choosing engines, and keeping requests waiting, by a harm that no choice avoids.
test('a prompt that takes longer to read than any stream may pause counts for no pauses', (t) => {
  const long = { ...INPUTS, ownReadMs: 320 };
  t.false(delaysStreams(long));
  t.is(engineCost(long, ALL_ON).pauses, 0);
  const longOnSlow = { ...INPUTS, ownReadMs: 320, pace: 2 };
  t.true(delaysStreams(longOnSlow));
  t.true(engineCost(longOnSlow, ALL_ON).pauses > 0);
});

test('the largest term is named', (t) => {
  t.is(largestTerm(engineCost({ ...INPUTS, isAvoided: true }, ALL_ON)), 'avoided');
});

// Guards against sending all requests to one of several engines that are equal as far as known.
test('among near-equals the one chosen longest ago is taken', (t) => {
  const choices = [
    { costMs: 100, lastChosenMs: 30 },
    { costMs: 103, lastChosenMs: 10 },
    { costMs: 120, lastChosenMs: 0 },
  ];
  t.is(chooseLowest(choices)?.lastChosenMs, 10);
  t.is(chooseLowest([]), undefined);
});
