/** Which bodies give way when the memory for bodies is used up. */
import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { BodyMemoryBudget } from '../src/request/body-memory-budget.js';
import { PendingBodies, type PendingBody } from '../src/request/pending-bodies.js';

const MEMORY_BYTES = 100_000;
const STALLED_MS = 1000;
/** Size of a body that may use all the memory. */
const SMALL_BYTES = 1000;

class Rig {
  readonly clock = new VirtualClock();
  readonly memory = new BodyMemoryBudget(MEMORY_BYTES);
  readonly givenUp: string[] = [];
  readonly lines: string[] = [];
  unreadMs = 0;
  readonly bodies = new PendingBodies({
    memory: this.memory,
    clock: this.clock,
    unreadMs: () => this.unreadMs,
    events: {
      event: (_level, name, _subject, { id, heldBytes, ageMs, idleMs, outcome }) =>
        this.lines.push(`${name} ${String(id)} ${heldBytes} ${ageMs} ${idleMs} ${outcome}`),
    },
  });

  /** A body that takes this much memory, all of which has arrived; undefined if there was no memory. */
  open(id: string, bytes: number): PendingBody | undefined {
    const body = this.bodies.open(id, () => this.givenUp.push(id));
    if (!body.reserve(bytes, SMALL_BYTES)) return undefined;
    body.received(bytes);
    return body;
  }

  async pass(ms: number): Promise<void> {
    await this.clock.runUntil(this.clock.now() + ms);
  }
}

test('stalled bodies give way, those without progress for longest first, and no more than are needed', async (t) => {
  const rig = new Rig();
  const first = rig.open('first', 40_000);
  await rig.pass(100);
  rig.open('second', 30_000);
  await rig.pass(100);
  rig.open('third', 30_000);
  await rig.pass(100);
  first?.received(20_000);
  await rig.pass(STALLED_MS);
  t.truthy(rig.open('new', 10_000));
  t.deepEqual(rig.givenUp, ['second']);
  t.is(rig.memory.reservedBytes, 80_000);
  t.deepEqual(rig.lines, ['request.body-given-up second 30000 1200 1200 given-up']);
});

test('a body that has not stalled keeps its memory, and the new one is refused', async (t) => {
  const rig = new Rig();
  rig.open('held', 100_000);
  await rig.pass(STALLED_MS - 1);
  t.is(rig.open('new', 10_000), undefined);
  t.deepEqual(rig.givenUp, []);
  t.deepEqual(rig.lines, ['request.body-refused new 0 0 0 refused']);
  t.is(rig.memory.reservedBytes, 100_000);
});

test('nobody gives way while there is room, however long without progress', async (t) => {
  const rig = new Rig();
  rig.open('held', 90_000);
  await rig.pass(100 * STALLED_MS);
  t.truthy(rig.open('new', 10_000));
  t.deepEqual(rig.givenUp, []);
});

test('nobody gives way if all that have stalled hold too little', async (t) => {
  const rig = new Rig();
  rig.open('stalled', 10_000);
  await rig.pass(STALLED_MS);
  rig.open('moving', 85_000);
  t.is(rig.open('new', 20_000), undefined);
  t.deepEqual(rig.givenUp, []);
});

test('single bytes are no progress for a body that holds much', async (t) => {
  const rig = new Rig();
  const trickling = rig.open('trickling', 100_000);
  for (let ms = 0; ms < STALLED_MS; ms += 100) {
    trickling?.received(1);
    await rig.pass(100);
  }
  t.truthy(rig.open('new', 10_000));
  t.deepEqual(rig.givenUp, ['trickling']);
});

test('a body that has arrived as a whole does not give way', async (t) => {
  const rig = new Rig();
  const whole = rig.open('whole', 100_000);
  whole?.complete();
  await rig.pass(100 * STALLED_MS);
  t.is(rig.open('new', 10_000), undefined);
  whole?.release();
  whole?.release();
  t.is(rig.memory.reservedBytes, 0);
  t.truthy(rig.open('next', 10_000));
});

// Its first bytes are too few to count as progress.
test('a body that stalls at its first byte gives way as well', async (t) => {
  const rig = new Rig();
  const body = rig.bodies.open('one byte', () => rig.givenUp.push('one byte'));
  t.true(body.reserve(100_000, SMALL_BYTES));
  body.received(1);
  await rig.pass(STALLED_MS);
  t.truthy(rig.open('new', 10_000));
  t.deepEqual(rig.givenUp, ['one byte']);
});

test('while the process may not have read what arrived, bodies stall later', async (t) => {
  const rig = new Rig();
  rig.open('held', 100_000);
  rig.unreadMs = 500;
  await rig.pass(STALLED_MS);
  t.is(rig.open('new', 10_000), undefined);
  await rig.pass(500);
  t.truthy(rig.open('new', 10_000));
});

test('a body does not make room for itself, and one that was given up holds nothing', async (t) => {
  const rig = new Rig();
  const body = rig.open('body', 60_000);
  await rig.pass(STALLED_MS);
  t.false(body?.reserve(60_000, SMALL_BYTES));
  const newer = rig.open('newer', 90_000);
  t.deepEqual(rig.givenUp, ['body']);
  body?.release();
  newer?.release();
  t.is(rig.memory.reservedBytes, 0);
});

test('ids are cut in log lines', async (t) => {
  const rig = new Rig();
  rig.open('x'.repeat(10_000), 100_000);
  await rig.pass(STALLED_MS);
  rig.open('new', 10_000);
  t.true((rig.lines[0] ?? '').length < 200);
});
