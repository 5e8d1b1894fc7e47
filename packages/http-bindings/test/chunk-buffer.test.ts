import test from 'ava';
import { ChunkBuffer } from '../src/chunk-buffer.js';
import { EventStreamTracker } from '../src/event-stream-tracker.js';

const BYTES = 200_000;
const PIECE_BYTES = 1000;

/** What the pieces take in memory, each buffer that they are parts of counted once. */
function heldBytes(pieces: readonly Buffer[]): number {
  const buffers = new Set(pieces.map((piece) => piece.buffer));
  return [...buffers].reduce((sum, { byteLength }) => sum + byteLength, 0);
}

function pushAll(chunks: Iterable<Buffer>): ChunkBuffer {
  const buffer = new ChunkBuffer();
  for (const chunk of chunks) buffer.push(chunk);
  return buffer;
}

// Guards against chunks of a few bytes that each are kept as an object, which takes many times their bytes.
test('very small chunks are kept in few pieces, in order', (t) => {
  const buffer = pushAll(Array.from({ length: BYTES }, (_, index) => Buffer.from([index % 251])));
  t.is(buffer.length, BYTES);
  t.is(buffer.lastByte, (BYTES - 1) % 251);
  const pieces = buffer.take();
  t.true(pieces.length < 20);
  t.true(heldBytes(pieces) <= 2 * BYTES);
  const whole = Buffer.concat(pieces);
  t.true(whole.equals(Buffer.from(Array.from({ length: BYTES }, (_, index) => index % 251))));
  t.is(buffer.length, 0);
});

// Guards against a small part of a large buffer that keeps all of it in memory.
test('chunks that are small parts of large buffers do not keep those', (t) => {
  const parts = Array.from({ length: 20 }, () => Buffer.alloc(1_000_000, 'y').subarray(0, 5000));
  const buffer = pushAll(parts);
  t.true(heldBytes(buffer.take()) <= 2 * 20 * 5000);
});

test('large chunks are kept as they are', (t) => {
  const chunk = Buffer.allocUnsafeSlow(65_536);
  const [piece] = pushAll([chunk]).take();
  t.is(piece, chunk);
});

// Guards against an unfinished event that is copied with each chunk: the time went up with the square of its size.
test('an event is joined once, when its end has arrived, wherever the chunks are cut', (t) => {
  const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n\ndata: c\n\nid: 4\ndata: unfinished';
  const end = text.lastIndexOf('\n\n') + 2;
  for (let first = 0; first <= text.length; first += 1) {
    for (let second = first; second <= text.length; second += 1) {
      const tracker = new EventStreamTracker();
      const cuts = [text.slice(0, first), text.slice(first, second), text.slice(second)];
      const passed = cuts.map((cut) => tracker.push(Buffer.from(cut)).toString()).join('');
      t.is(passed, text.slice(0, end));
      t.is(tracker.partialEventBytes, text.length - end);
      t.is(tracker.lastEventId, 2);
    }
  }
});

test('a large event in many chunks is passed on whole', (t) => {
  const tracker = new EventStreamTracker();
  const chunk = Buffer.alloc(PIECE_BYTES, 'z');
  for (let index = 0; index < BYTES / PIECE_BYTES; index += 1) t.is(tracker.push(chunk).length, 0);
  t.is(tracker.push(Buffer.from('\n')).length, 0);
  t.is(tracker.push(Buffer.from('\n')).length, BYTES + 2);
  t.false(tracker.hasPartialEvent);
});
