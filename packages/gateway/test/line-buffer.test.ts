/** Lines arrive in chunks of any size; an unfinished one takes about its own length and time in proportion to it. */
import test from 'ava';
import { LineBuffer } from '../src/peers/line-buffer.js';

const MAX_LINE_BYTES = 1_000_000;

function linesOf(buffer: LineBuffer, ...chunks: readonly string[]): readonly string[] | undefined {
  const all: string[] = [];
  for (const chunk of chunks) {
    const read = buffer.push(Buffer.from(chunk));
    if (read.kind === 'too-long') return undefined;
    all.push(...read.lines.map(String));
  }
  return all;
}

test('lines are split wherever the chunks end, also within a character', (t) => {
  const bytes = Buffer.from('a\n\nbü€\nc\nd');
  for (let size = 1; size <= bytes.length; size += 1) {
    const buffer = new LineBuffer(MAX_LINE_BYTES);
    const lines: string[] = [];
    for (let start = 0; start < bytes.length; start += size) {
      const read = buffer.push(bytes.subarray(start, start + size));
      if (read.kind === 'lines') lines.push(...read.lines.map(String));
    }
    t.deepEqual(lines, ['a', '', 'bü€', 'c'], String(size));
  }
});

// A kept chunk of one byte took some hundred bytes, and each new one copied the whole line.
test('an unfinished line that comes a byte at a time takes at most twice its length', (t) => {
  const buffer = new LineBuffer(MAX_LINE_BYTES);
  const byte = Buffer.from('{');
  for (let length = 1; length <= MAX_LINE_BYTES; length += 1) {
    buffer.push(byte);
    if (buffer.heldBytes > Math.max(2 * length, 1024)) t.fail(`${buffer.heldBytes} for ${length}`);
  }
  t.is(buffer.heldBytes, MAX_LINE_BYTES);
});

test('nothing is held after a line is complete', (t) => {
  const buffer = new LineBuffer(MAX_LINE_BYTES);
  t.deepEqual(linesOf(buffer, 'abc', 'def\n'), ['abcdef']);
  t.is(buffer.heldBytes, 0);
});

test('a line of the longest length is read, and a longer one is not, finished or unfinished', (t) => {
  t.deepEqual(linesOf(new LineBuffer(3), 'ab', 'c\n'), ['abc']);
  t.is(linesOf(new LineBuffer(3), 'ab', 'cd\n'), undefined);
  t.is(linesOf(new LineBuffer(3), 'abcd\n'), undefined);
  t.is(linesOf(new LineBuffer(3), 'ab', 'cd'), undefined);
});
