import test from 'ava';
import { MemoryBudget, type MemoryHolder } from '../src/http/memory-budget.js';

/** A budget of 100 bytes, and the names of those that gave way. */
function newBudget(): { budget: MemoryBudget; gone: string[]; open: (name: string) => MemoryHolder } {
  const budget = new MemoryBudget({ limitBytes: 100 });
  const gone: string[] = [];
  return { budget, gone, open: (name) => budget.open(() => gone.push(name)) };
}

test('a memory budget makes the holder give way that has made no progress for longest', (t) => {
  const { budget, gone, open } = newBudget();
  const [a, b, c] = [open('a'), open('b'), open('c')];
  for (const holder of [a, b, c]) t.true(holder.resize(30));
  a.progressed();
  t.true(open('d').resize(30));
  t.deepEqual(gone, ['b']);
  t.true(c.resize(45));
  t.deepEqual(gone, ['b', 'a']);
  t.is(budget.usedBytes, 75);
});

test('a memory budget refuses those that need more than others can free, and nobody gives way for them', (t) => {
  const { budget, gone, open } = newBudget();
  const kept = open('kept');
  kept.resize(60);
  kept.keep();
  t.true(open('open').resize(40));
  const newcomer = open('newcomer');
  t.false(newcomer.resize(41));
  t.deepEqual(gone, []);
  t.is(newcomer.bytes, 0);
  t.true(newcomer.resize(40));
  t.deepEqual(gone, ['open']);
  t.is(budget.usedBytes, 100);
});

test('a memory budget has all its memory again when all holders have ended, however they did', (t) => {
  const { budget, open } = newBudget();
  const [released, kept, gaveWay] = [open('released'), open('kept'), open('gave way')];
  for (const holder of [gaveWay, released, kept]) holder.resize(30);
  gaveWay.resize(20);
  kept.keep();
  kept.resize(70);
  for (const holder of [released, released, kept, gaveWay]) holder.release();
  t.false(gaveWay.resize(10));
  t.is(budget.usedBytes, 0);
  t.true(open('last').resize(100));
});
