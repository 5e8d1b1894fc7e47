/** When a backend that fails if it turns many requests away gets no more. */
import test from 'ava';
import { RejectionGuard } from '../src/rejection-guard.js';

// Requests granted at one moment were all turned away before the first refusal was known: soak seed 7313, 3 falls.
test('requests granted at one moment stay within what a backend can turn away', (t) => {
  const guard = new RejectionGuard();
  let granted = 0;
  while (!guard.isExhausted(3, 0)) {
    guard.recordGrant(0);
    granted += 1;
  }
  t.is(granted, 3);
  t.false(guard.isExhausted(3, 300), 'those that were not turned away have been taken');
});

test('a backend that turned requests away gets a pause', (t) => {
  const guard = new RejectionGuard();
  guard.recordGrant(0);
  guard.recordRejection(10);
  guard.recordGrant(20);
  guard.recordRejection(30);
  t.true(guard.isExhausted(5, 900));
  t.false(guard.isExhausted(undefined, 900));
  t.false(guard.isExhausted(5, 1300));
});
