import fc from 'fast-check';
import test from 'ava';
import { BodyBuffer } from '../src/request/body-buffer.js';

const LIMIT_BYTES = 20_000;
/** Memory of the smallest body without an announced size. */
const MIN_CAPACITY_BYTES = 1024;

// Chunks were kept as they came and counted by their length, which is a hundredth of what a chunk of one byte takes.
test('a body in any chunks has their bytes, and takes the memory that it names', (t) => {
  const chunks = fc.array(fc.uint8Array({ minLength: 1, maxLength: 500 }), { maxLength: 40 });
  fc.assert(
    fc.property(chunks, fc.boolean(), (parts, isAnnounced) => {
      const whole = Buffer.concat(parts);
      const body = new BodyBuffer(isAnnounced ? whole.length : 0, LIMIT_BYTES);
      for (const part of parts) {
        const named = body.capacityWith(part.length);
        body.append(Buffer.from(part));
        t.is(body.capacity, named);
        t.is(body.bytes.buffer.byteLength, body.capacity, 'the buffer shares no memory with others');
        t.true(body.capacity <= Math.max(MIN_CAPACITY_BYTES, 2 * body.size));
      }
      t.is(body.size, whole.length);
      t.deepEqual(body.bytes, whole);
      if (isAnnounced) t.true(body.capacity <= whole.length);
    }),
  );
});

test('a body takes no more memory than the largest one, and none before its first byte', (t) => {
  const body = new BodyBuffer(0, LIMIT_BYTES);
  t.is(body.capacity, 0);
  body.append(Buffer.alloc(LIMIT_BYTES - 1));
  body.append(Buffer.alloc(1));
  t.is(body.capacity, LIMIT_BYTES);
  t.is(new BodyBuffer(LIMIT_BYTES, LIMIT_BYTES).capacity, 0);
});
