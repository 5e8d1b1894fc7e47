import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { ServingOutage, type ServingOutageOptions } from '../src/request/serving-outage.js';
import { Harness, tenant, configuration } from './harness.js';

interface State {
  ageMs: number;
  failed: boolean;
  awaits: boolean;
  lost: readonly string[];
  seesMost: boolean;
  isolatedMs: number | undefined;
}

function outage(switchedOff: ServingOutageOptions['switchedOff'] = new Set()): {
  clock: VirtualClock;
  state: State;
  outage: ServingOutage;
} {
  const clock = new VirtualClock();
  const state: State = {
    ageMs: Infinity,
    failed: false,
    awaits: false,
    lost: [],
    seesMost: true,
    isolatedMs: undefined,
  };
  const made = new ServingOutage({
    clock,
    published: {
      get configurationLease() {
        return { ageMs: state.ageMs, leaseMs: 3000 };
      },
      get hasStoreFailed() {
        return state.failed;
      },
      get awaitsConfiguration() {
        return state.awaits;
      },
    },
    cluster: {
      seesMost: () => state.seesMost,
      lostMembers: () => state.lost,
      get isolatedMs() {
        return state.isolatedMs;
      },
    },
    random: () => 0,
    switchedOff,
  });
  return { clock, state, outage: made };
}

test('the time without a configuration counts from the start of the process, and longer outages give longer waits', async (t) => {
  const { clock, state, outage: node } = outage();
  t.true(node.retryAfterMs('not-ready', 3000) <= 500, 'the first read is under way');
  state.failed = true;
  const early = node.retryAfterMs('not-ready', 3000);
  await clock.runUntil(4000);
  const late = node.retryAfterMs('not-ready', 3000);
  t.true(early >= 500 && late >= 4000, `${early} ${late}`);
  state.awaits = true;
  t.true(
    node.retryAfterMs('not-ready', 3000) >= 4000,
    'a peer that has not delivered for long is not at a normal start',
  );
});

// Guards against the only retry of callers going to a node that is as stale as the one that refused them.
test('a stale node that sees its peers lets callers wait for the store, and one that lost them sends callers to them', (t) => {
  const { state, outage: node } = outage();
  state.failed = true;
  state.ageMs = 3500;
  t.true(node.retryAfterMs('stale', 12_000) >= 3000);
  state.lost = ['a', 'b'];
  state.seesMost = false;
  t.true(node.retryAfterMs('stale', 12_000) < 50);
  state.lost = [];
  state.isolatedMs = 100;
  t.true(node.retryAfterMs('stale', 12_000) < 50);
});

test('switched off, the times are fixed', async (t) => {
  const { clock, state, outage: node } = outage(new Set(['outage-retry'] as const));
  state.failed = true;
  await clock.runUntil(4000);
  t.is(node.retryAfterMs('not-ready', 3000), 500);
  t.is(node.retryAfterMs('stale', 3000), 20);
});

test('refusals carry the time told, also in their log line', async (t) => {
  const harness = await Harness.start(undefined, []);
  t.teardown(() => harness.stop());
  harness.outageRetryMs = (cause) => (cause === 'stale' ? 3100 : 1300);
  const notReady = await harness.call('a');
  t.is(notReady.status, 503);
  t.is(notReady.headers['retry-after'], '1.300');
  harness.fleet.applyConfiguration(configuration({}, [tenant('x', ['k'])]));
  harness.configurationAgeMs = 60_000;
  const stale = await harness.call('b', '/x/', 'question', { key: 'k' });
  t.is(stale.headers['retry-after'], '3.100');
  const finished = harness.lines.filter((line) => line.includes('request.finished'));
  t.regex(finished[0] ?? '', /retryAfterMs=1300/);
  t.regex(finished[1] ?? '', /retryAfterMs=3100/);
});
