import test from 'ava';
import { SegmentedBuffer } from '../src/http/segmented-buffer.js';

const BYTES = Buffer.from(Array.from({ length: 300_000 }, (_, index) => index % 251));

for (const partBytes of [1, 7, 4096, 65_536, BYTES.length]) {
  for (const expectedBytes of [0, BYTES.length]) {
    test(`a segmented buffer returns parts of ${partBytes} bytes whole (${expectedBytes} bytes expected)`, (t) => {
      const buffer = new SegmentedBuffer();
      for (let at = 0; at < BYTES.length; at += partBytes)
        buffer.add(BYTES.subarray(at, at + partBytes), expectedBytes);
      t.is(buffer.length, BYTES.length);
      const capacity = buffer.capacityFor(0, expectedBytes);
      t.true(capacity <= (expectedBytes === 0 ? BYTES.length + 65_536 : BYTES.length), `${capacity} bytes`);
      t.true(buffer.take().equals(BYTES));
    });
  }
}

test('a segmented buffer holds no more than is expected, and tells before what it will hold', (t) => {
  const buffer = new SegmentedBuffer();
  t.is(buffer.capacityFor(10, 10), 10);
  t.is(buffer.capacityFor(10, 0), 4096);
  t.is(buffer.capacityFor(5000, 0), 8192);
  buffer.add(BYTES.subarray(0, 5000), 0);
  t.is(buffer.capacityFor(0, 0), 8192);
  t.is(buffer.take().buffer.byteLength, 5000);
});
