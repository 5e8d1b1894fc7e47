/** A peer stands still if something waits for it and it takes none. */
import test from 'ava';
import { ReadProgress } from '../src/peers/read-progress.js';

test('a peer that takes nothing stands still since the first write that it did not take', (t) => {
  const progress = new ReadProgress();
  progress.wrote(10);
  progress.wrote(20);
  t.is(progress.stalledMs(30), 20);
});

test('a peer that takes something does not stand still, however much waits', (t) => {
  const progress = new ReadProgress();
  progress.wrote(10);
  progress.took(25, false);
  progress.wrote(26);
  t.is(progress.stalledMs(30), 5);
});

test('a peer for which nothing waits does not stand still', (t) => {
  const progress = new ReadProgress();
  t.is(progress.stalledMs(30), 0);
  progress.wrote(10);
  progress.took(20, true);
  t.is(progress.stalledMs(30), 0);
});
