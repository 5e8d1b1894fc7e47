import test from 'ava';
import { ResponseMemoryBudget, type ResponseMemory } from '../src/request/response-memory-budget.js';

const MAX_BYTES = 9000;
const STALL_MS = 1000;
const STALL_AT_LIMIT_MS = 100;

function rig() {
  let nowMs = 0;
  const clock = { now: () => nowMs, advance: (ms: number) => void (nowMs += ms) };
  const lines: string[] = [];
  const gaveWay: string[] = [];
  const budget = new ResponseMemoryBudget(MAX_BYTES, clock, {
    event: (_level, name, _subject, fields) => lines.push(`${name} ${JSON.stringify(fields)}`),
  });
  const open = (id: string): ResponseMemory => budget.open(id, () => gaveWay.push(id));
  /** A response with this much for its client. */
  const waiting = (id: string, bytes: number): ResponseMemory => {
    const memory = open(id);
    memory.wait(bytes);
    return memory;
  };
  return { clock, lines, gaveWay, budget, open, waiting };
}

test('while there is memory, a response waits for its client however long that takes', (t) => {
  const { clock, gaveWay, waiting, budget } = rig();
  waiting('slow', 3000);
  clock.advance(3_600_000);
  waiting('next', 2000);
  t.deepEqual(gaveWay, []);
  t.is(budget.heldBytes, 5000);
});

test('the response whose client has taken nothing for the longest time gives way first, and no more than needed', (t) => {
  const { clock, gaveWay, waiting, budget, lines } = rig();
  waiting('silent', 2000);
  clock.advance(10);
  const reading = waiting('reading', 2000);
  clock.advance(10);
  waiting('silent later', 2000);
  clock.advance(STALL_MS);
  reading.progressed();
  waiting('new', 2000);
  t.deepEqual(gaveWay, ['silent']);
  waiting('newer', 2000);
  t.deepEqual(gaveWay, ['silent', 'silent later']);
  t.is(budget.heldBytes, 6000);
  t.is(lines.length, 1, 'one line a second');
  t.true(lines[0]?.startsWith('response.gave-way {"request":"silent","waitingBytes":2000,"keptBytes":0,'));
});

test('a client that has just taken something is kept until all memory is used, and at first even then', (t) => {
  const { clock, gaveWay, waiting } = rig();
  for (const id of ['a', 'b', 'c', 'd']) waiting(id, 2000);
  t.deepEqual(gaveWay, []);
  clock.advance(STALL_AT_LIMIT_MS);
  waiting('e', 900);
  t.deepEqual(gaveWay, [], 'there is memory left');
  waiting('f', 900);
  t.deepEqual(gaveWay, ['a'], 'those that follow fit again');
  waiting('g', 4000);
  t.deepEqual(gaveWay, ['a', 'b', 'c']);
});

test('what does not wait for its client does not give way, may use half of the memory, and is told if there is none', (t) => {
  const { clock, gaveWay, open, waiting } = rig();
  const kept = open('kept');
  t.true(kept.keep(4000));
  clock.advance(STALL_MS);
  waiting('waiting', 1000);
  clock.advance(STALL_MS);
  waiting('later', 4000);
  t.deepEqual(gaveWay, ['waiting']);
  t.false(open('more').keep(1001), 'there is none left');
  clock.advance(STALL_MS);
  t.false(open('too much').keep(500), 'half of the memory is for what is kept');
  t.deepEqual(gaveWay, ['waiting', 'later']);
  t.true(kept.keep(100));
});

test('what a response holds is given back once, whatever is reported afterwards', (t) => {
  const { clock, budget, open, waiting, gaveWay } = rig();
  const memory = waiting('a', 4000);
  memory.keep(1000);
  memory.release();
  memory.release();
  memory.keep(500);
  memory.wait(500);
  t.is(budget.heldBytes, 0);
  const other = waiting('b', 8000);
  clock.advance(STALL_MS);
  open('c').keep(1000);
  t.deepEqual(gaveWay, ['b']);
  other.wait(0);
  other.release();
  t.is(budget.heldBytes, 1000);
});
