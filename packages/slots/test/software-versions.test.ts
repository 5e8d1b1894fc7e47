import test from 'ava';
import { mayRunOn } from '../src/index.js';
import { backend, plainRequest, PoolUnderTest } from './new-backend-pool.js';

const V1 = { ...backend('a'), softwareVersion: 'v1' };
const V2 = { ...backend('b'), softwareVersion: 'v2' };

test('a request that continues a stream is granted a backend of its software version only', (t) => {
  const setup = new PoolUnderTest([V1, V2]);
  for (let count = 0; count < 2; count += 1) {
    const decision = setup.decisions.get(setup.ask({ softwareVersion: 'v2' }));
    t.like(decision, { kind: 'granted', backendId: 'b', softwareVersion: 'v2' });
  }
  t.like(setup.decisions.get(setup.ask({ softwareVersion: 'v3' })), { reason: 'no-backend' });
});

test('backends that tell no software version have one of their own', (t) => {
  const untold = backend('c');
  t.true(mayRunOn(plainRequest(), untold));
  t.true(mayRunOn(plainRequest({ softwareVersion: '' }), untold));
  t.false(mayRunOn(plainRequest({ softwareVersion: 'v1' }), untold));
  t.false(mayRunOn(plainRequest({ softwareVersion: '' }), V1));
});
