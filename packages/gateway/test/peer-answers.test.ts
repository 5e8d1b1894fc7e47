/** Answers of another form, as a node of another build may send them, count as none. */
import { CompletedRuns } from '@canvasridge/admission';
import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { interruptionReporter } from '../src/cluster/interruption-reporter.js';
import { FleetQuotas, TENANT_QUOTAS } from '../src/index.js';
import { UnreadLog } from '../src/peers/unread-log.js';
import { addressOf } from './peer-addresses.js';

const SECOND_MS = 1000;
const SECONDS = 10;
const LOAN = { subject: 'tenant', granted: 1, ahead: 0, retryAfterMs: 0, share: 1 };
const SPOILED_LOANS: readonly unknown[] = [
  7,
  {},
  'all',
  [null],
  [{ ...LOAN, granted: 'all' }],
  [{ ...LOAN, granted: -1 }],
  [{ ...LOAN, ahead: 1e300 }],
  [{ ...LOAN, share: null }],
];

/** Units admitted in some seconds by a node whose home gives this answer to each question. */
async function admittedWith(answer: unknown): Promise<number> {
  const clock = new VirtualClock();
  const quotas = new FleetQuotas({
    kind: TENANT_QUOTAS,
    clock,
    cluster: { selfId: 'b', candidates: () => ['a', 'b'], peerAddress: addressOf, lostMembers: () => [] },
    network: { to: () => ({ call: () => Promise.resolve(answer) }) },
    telemetry: new Telemetry({ processName: 'test', clock }),
    rules: () => ({ ratePerSecond: 10, burst: 40 }),
    subjectCount: () => 1,
    fleetShare: () => 1 / 2,
  });
  let admitted = 0;
  for (let second = 1; second <= SECONDS; second += 1) {
    for (let index = 0; index < 20; index += 1)
      void quotas.admit('tenant', 1).then(({ kind }) => (admitted += kind === 'admitted' ? 1 : 0));
    await clock.runUntil(second * SECOND_MS);
  }
  return admitted;
}

// Guards against a request that waits for ever, and a quota of NaN units, after such an answer of a home.
test('loans of another form count as no home, and the node uses its share', async (t) => {
  const withoutHome = await admittedWith(undefined);
  t.true(withoutHome > 0);
  for (const answer of SPOILED_LOANS) t.is(await admittedWith(answer), withoutHome, JSON.stringify(answer));
});

// Guards against a home that answered so and is not told again of the crashes of a request.
test('a home that answers a report of crashes in another form is told again', async (t) => {
  for (const spoiled of [7, {}, [7], ['f:x'], 'f']) {
    const clock = new VirtualClock();
    let answer: unknown = spoiled;
    let calls = 0;
    const quarantined: string[] = [];
    const reporter = interruptionReporter({
      clock,
      cluster: { peerAddress: addressOf, processOf: () => ({ token: 'p', state: 'alive' }) },
      network: { to: () => ({ call: () => ((calls += 1), Promise.resolve(answer)) }) },
      otherHomes: () => ['a'],
      telemetry: new Telemetry({ processName: 'test', clock }),
      log: new UnreadLog(new Telemetry({ processName: 'test', clock })),
      completedRuns: new CompletedRuns(),
      onQuarantined: (texts) => quarantined.push(...texts),
    });
    void reporter.report({ fingerprint: 'f', backend: 'e1', sentMs: 0, atMs: 0 });
    await clock.runUntil(SECOND_MS);
    answer = ['f'];
    await Promise.all(reporter.reportToHomes());
    t.deepEqual([calls, quarantined], [2, ['f']]);
  }
});
