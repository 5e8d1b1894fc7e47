/** The time that a backend is told for a request. */
import test from 'ava';
import { backendDeadlineMs } from '../src/request/backend-deadline.js';

test('a request that was read at once leaves its backend all of its time but that for the response', (t) => {
  t.is(backendDeadlineMs(3000, 0), 2990);
  t.is(backendDeadlineMs(200.7, 0), 190);
});

test('the time for which a request may have lain unread is not left to its backend', (t) => {
  t.is(backendDeadlineMs(3000, 1200), 1790);
});

test('a backend gets the time for which it may work unwanted, as the request may have come just before', (t) => {
  t.is(backendDeadlineMs(3000, 2900), 500);
  t.is(backendDeadlineMs(3000, 8000), 500);
  t.is(backendDeadlineMs(200, 8000), 190);
});

test('a backend is told at least a millisecond', (t) => {
  t.is(backendDeadlineMs(5, 0), 1);
});
