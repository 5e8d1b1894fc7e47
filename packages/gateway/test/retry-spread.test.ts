import test from 'ava';
import { spreadRetryMs } from '../src/request/retry-spread.js';

const HOUR_MS = 3_600_000;

// Guards against telling clients to return long after what they wait for has ended.
test('a Retry-After is lengthened by half of it at most, and by two seconds at most', (t) => {
  t.is(spreadRetryMs(1000, 0), 1000);
  t.is(spreadRetryMs(1000, 1), 1500);
  t.is(spreadRetryMs(HOUR_MS, 1), HOUR_MS + 2000);
});
