import test from 'ava';
import { FleetState, type BackendDescription, type ServingConfiguration } from '../src/index.js';

function configuration(version: number): ServingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], limits, tenants: undefined };
}

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 'llm', address: `${id}:1`, zone: 'a', state, slots: 1, models: [] };
}

test('a configuration never goes back', (t) => {
  const fleet = new FleetState();
  t.true(fleet.applyConfiguration(configuration(7)));
  t.false(fleet.applyConfiguration(configuration(3)));
  t.false(fleet.applyConfiguration(configuration(7)));
  t.is(fleet.configurationVersion, 7);
});

test('an adapter version never goes back', (t) => {
  const fleet = new FleetState();
  fleet.applyAdapterVersion({ model: 'm', adapter: 'x', version: 4 });
  fleet.applyAdapterVersion({ model: 'm', adapter: 'x', version: 2 });
  t.is(fleet.adapterVersion('m', 'x'), 4);
  t.is(fleet.adapterVersion('m', 'y'), 0);
});

test('an older entry of a backend, or its older removal, changes nothing', (t) => {
  const fleet = new FleetState();
  fleet.applyBackend(10, backend('i1', 'draining'));
  fleet.applyBackend(8, backend('i1'));
  fleet.removeBackend(9, 'i1');
  t.is(fleet.backend('i1')?.state, 'draining');
  fleet.removeBackend(11, 'i1');
  t.is(fleet.backend('i1'), undefined);
});

test('a whole list removes what it lacks but not what is newer', (t) => {
  const fleet = new FleetState();
  fleet.applyBackend(10, backend('old'));
  fleet.applyBackend(30, backend('new'));
  fleet.replaceBackends(30, [{ revision: 20, value: backend('listed') }]);
  t.deepEqual(
    fleet.backendsOf('llm').map(({ id }) => id),
    ['listed'],
  );
  fleet.applyBackend(40, backend('newer'));
  fleet.replaceBackends(35, []);
  t.truthy(fleet.backend('newer'), 'a list that is older than what is known is not taken');
});

test('peers bring one another up to the newest state in whichever order', (t) => {
  const one = new FleetState();
  const two = new FleetState();
  one.applyConfiguration(configuration(5));
  one.applyBackend(10, backend('i1'));
  two.applyConfiguration(configuration(6));
  two.applyBackend(20, backend('i2'));
  two.applyAdapterVersion({ model: 'm', adapter: 'x', version: 2 });
  one.merge(two.snapshot());
  two.merge(one.snapshot());
  for (const fleet of [one, two]) {
    t.is(fleet.configurationVersion, 6);
    t.is(fleet.adapterVersion('m', 'x'), 2);
    t.deepEqual(
      fleet.backendsOf('llm').map(({ id }) => id),
      ['i2'],
    );
  }
});
