import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { QuotaBorrower, type QuotaDecision } from '../src/index.js';

const RULE = { ratePerSecond: 100, burst: 100 };

// The requests of the batch waited for ever, and the rejection ended the process.
test('requests are decided locally when the request to the home fails, and the home is asked again later', async (t) => {
  const clock = new VirtualClock();
  const failures: unknown[] = [];
  const failure = new Error('garbled');
  let asked = 0;
  const borrower = new QuotaBorrower({
    clock,
    rules: () => RULE,
    defaultShare: () => 1,
    borrow: () => {
      asked += 1;
      return Promise.reject(failure);
    },
    onFailure: (cause) => failures.push(cause),
  });
  const decisions: QuotaDecision['kind'][] = [];
  const admit = async (): Promise<void> => {
    const decided = borrower.admit('tenant', 1).then(({ kind }) => decisions.push(kind));
    await clock.runUntil(clock.now() + 1000);
    await decided;
  };
  await admit();
  await admit();
  // Without the home's share, a node starts with no units of its own.
  t.deepEqual(decisions, ['refused', 'admitted']);
  t.is(asked, 2);
  t.deepEqual(failures, [failure, failure]);
});
