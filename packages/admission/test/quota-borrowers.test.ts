/** A home remembers a bounded number of the nodes that borrow of it. */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { QuotaLender } from '../src/quota/quota-lender.js';

const REMEMBERED = 1024;
const REQUEST = { subject: 'tenant', needed: [], ahead: 0, returned: 0, demand: 1 };

function newLender(): QuotaLender {
  return new QuotaLender({
    clock: new VirtualClock(),
    rules: () => ({ ratePerSecond: 10, burst: 40 }),
    unreachableNodes: () => new Set(),
  });
}

// Each name was kept for good, and looked through for each loan.
test('the shares of a quota are those of the nodes that asked last, whatever names were made up', (t) => {
  const lender = newLender();
  let share = 0;
  for (let index = 0; index < 3 * REMEMBERED; index += 1) {
    share = lender.lend(`node-${index}`, [REQUEST])[0]?.share ?? 0;
    if (index === REMEMBERED - 1) t.is(share, 1 / REMEMBERED);
  }
  t.is(share, 1 / REMEMBERED);
});

test('a node that keeps asking is not forgotten for those that are new', (t) => {
  const lender = newLender();
  const share = (): number | undefined => lender.lend('kept', [{ ...REQUEST, demand: REMEMBERED }])[0]?.share;
  share();
  for (let index = 0; index < 3 * REMEMBERED; index += 1) {
    lender.lend(`node-${index}`, [REQUEST]);
    if (index % 100 === 0) share();
  }
  t.is(share(), REMEMBERED / (2 * REMEMBERED - 1));
});
