import test from 'ava';
import { readSoftLimit } from '../src/descriptor-limit.js';

const LIMITS = `Limit                     Soft Limit           Hard Limit           Units
Max processes             127235               127235               processes
Max open files            4100                 20000                files
`;

test('the limit of open files is read as the operating system tells it', (t) => {
  t.is(readSoftLimit(LIMITS), 4100);
  t.is(readSoftLimit(LIMITS.replace('4100 ', 'unlimited ')), Infinity);
  t.is(readSoftLimit(''), undefined);
});
