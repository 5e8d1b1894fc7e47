import { socketAddress } from '@canvasridge/addresses';
import type { BackendDescription, BackendService, EngineProfile } from '@canvasridge/serving';
import test from 'ava';
import { isScarce } from '../src/cluster/scarce-backends.js';

const PLAIN: BackendService = { name: 'ledger', maxConnections: 10, engine: undefined };

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return {
    id,
    service: 'ledger',
    address: socketAddress('10.0.0.1:1'),
    zone: 'a',
    state,
    slots: 6,
    models: [],
  };
}

test('Backends are granted only while their ready slots are fewer than the nodes', (t) => {
  const listed = [backend('a'), backend('b')];
  t.true(isScarce(PLAIN, listed, 13));
  t.false(isScarce(PLAIN, listed, 12));
  t.true(isScarce(PLAIN, [backend('a'), backend('b', 'draining')], 7));
});

test('Neither a service without a ready backend nor one with engines is granted as plain backends', (t) => {
  t.false(isScarce(PLAIN, [backend('a', 'draining')], 100));
  t.false(isScarce({ ...PLAIN, engine: {} as EngineProfile }, [backend('a')], 100));
});
