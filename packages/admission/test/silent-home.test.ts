/**
 * Guards against requests within a quota that are refused because its home was silent for a moment: what it lends to questions that
 * it gets late is used by nobody.
 */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { QuotaBorrower, QuotaLender, type Loan, type LoanRequest, type QuotaRule } from '../src/index.js';

const HOP_MS = 2;
const ANSWER_WITHIN_MS = 150;
const SUBJECT = 'tenant';

const RATE_PER_SECOND = 20;
const SILENT_FROM_MS = 5000;
const DURATION_MS = 10_000;
/** By now the bucket of a new home has filled. */
const COUNTED_FROM_MS = 4000;

interface Played {
  readonly admitted: number;
  readonly asked: number;
}

/** A node that asks for one unit at a time, of a home that handles questions only when its silence is over. */
async function play(perSecond: number, silentMs: number): Promise<Played> {
  const clock = new VirtualClock();
  const rules = (): QuotaRule => ({ ratePerSecond: RATE_PER_SECOND, burst: RATE_PER_SECOND });
  const lender = new QuotaLender({ clock, rules, unreachableNodes: () => new Set() });
  const held: (() => void)[] = [];
  let isSilent = false;
  const onFailure = (cause: unknown): never => {
    throw cause;
  };
  const borrow = (requests: readonly LoanRequest[]): Promise<readonly Loan[] | undefined> =>
    new Promise((resolve) => {
      clock.setTimer(ANSWER_WITHIN_MS, () => resolve(undefined));
      const handle = (): void => {
        const loans = lender.lend('node', requests);
        clock.setTimer(HOP_MS, () => resolve(loans));
      };
      clock.setTimer(HOP_MS, () => (isSilent ? held.push(handle) : handle()));
    });
  const borrower = new QuotaBorrower({ clock, rules, borrow, defaultShare: () => 0.1, onFailure });
  let admitted = 0;
  let asked = 0;
  while (clock.now() < DURATION_MS) {
    const nowMs = clock.now();
    const shallBeSilent = nowMs >= SILENT_FROM_MS && nowMs < SILENT_FROM_MS + silentMs;
    if (isSilent && !shallBeSilent) for (const handle of held.splice(0)) handle();
    isSilent = shallBeSilent;
    if (nowMs >= COUNTED_FROM_MS) asked += 1;
    void borrower.admit(SUBJECT, 1).then(({ kind }) => {
      if (nowMs >= COUNTED_FROM_MS && kind === 'admitted') admitted += 1;
    });
    await clock.runUntil(nowMs + 1000 / perSecond);
  }
  return { admitted, asked };
}

for (const silentMs of [1000, 2000])
  test(`a home that is silent for ${silentMs} ms costs a tenant within its quota no request`, async (t) => {
    for (const perSecond of [RATE_PER_SECOND / 2, RATE_PER_SECOND]) {
      const { admitted, asked } = await play(perSecond, silentMs);
      t.is(admitted, asked, `${perSecond} a second`);
    }
  });
