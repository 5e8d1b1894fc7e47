import test from 'ava';
import { holderNumber } from '../src/cluster/holder-number.js';

test('machines whose addresses differ only in their first octets have different numbers', (t) => {
  const ips = ['10.1.0.5', '10.65.0.5', '10.129.0.5', '11.1.0.5', '10.2.0.5'];
  t.is(new Set(ips.map(holderNumber)).size, ips.length);
});
