/** Guards against headers that are larger than the configuration allows: 64 KiB were taken, whatever it said. */
import test from 'ava';
import { areHeadersTooLarge } from '../src/request/header-size.js';
import { Harness, configuration } from './harness.js';
import { success } from './raw-backend.js';

const MAX_HEADER_BYTES = 1000;

test('header fields are counted by their names and values, and the target by itself', (t) => {
  const rawHeaders = ['host', 'x', 'name', 'v'.repeat(91)];
  t.false(areHeadersTooLarge({ rawHeaders, url: '/x' }, 100));
  t.true(areHeadersTooLarge({ rawHeaders, url: '/x' }, 99));
  t.false(areHeadersTooLarge({ rawHeaders, url: '/'.repeat(100) }, 100));
  t.true(areHeadersTooLarge({ rawHeaders, url: '/'.repeat(101) }, 100));
});

test('a request whose headers are over the configured limit is refused, and others are served', async (t) => {
  const harness = await Harness.start({}, [(socket, id) => socket.write(success(id, 'answer'))]);
  t.teardown(() => harness.stop());
  const changed = configuration({}, undefined, 2);
  harness.fleet.applyConfiguration({
    ...changed,
    limits: { ...changed.limits, maxHeaderBytes: MAX_HEADER_BYTES },
  });
  const large = await harness.call('r1', '/x/', 'question', { name: 'x'.repeat(MAX_HEADER_BYTES) });
  t.is(large.status, 431);
  const long = await harness.call('r2', `/x/${'x'.repeat(MAX_HEADER_BYTES)}`);
  t.is(long.status, 431);
  t.is(harness.sends, 0);
  t.is((await harness.call('r3', '/x/', 'question', { name: 'x'.repeat(500) })).status, 200);
});
