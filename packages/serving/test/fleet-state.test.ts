import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import { FleetState, type BackendDescription, type ServingConfiguration } from '../src/index.js';

function configuration(version: number): ServingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], limits, tenants: undefined };
}

function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 'llm', address: socketAddress('10.0.0.1:1'), zone: 'a', state, slots: 1, models: [] };
}

test('an older configuration is not applied', (t) => {
  const fleet = new FleetState();
  t.true(fleet.applyConfiguration(configuration(7)));
  t.false(fleet.applyConfiguration(configuration(3)));
  t.false(fleet.applyConfiguration(configuration(7)));
  t.is(fleet.configurationVersion, 7);
});

test('an older adapter version is not applied', (t) => {
  const fleet = new FleetState();
  fleet.applyAdapterVersion({ model: 'm', adapter: 'x', version: 4 });
  fleet.applyAdapterVersion({ model: 'm', adapter: 'x', version: 2 });
  t.is(fleet.adapterVersion('m', 'x'), 4);
  t.is(fleet.adapterVersion('m', 'y'), 0);
});

test('an older entry or an older removal of a backend is ignored', (t) => {
  const fleet = new FleetState();
  fleet.applyBackend(10, backend('i1', 'draining'));
  fleet.applyBackend(8, backend('i1'));
  fleet.removeBackend(9, 'i1');
  t.is(fleet.backend('i1')?.state, 'draining');
  fleet.removeBackend(11, 'i1');
  t.is(fleet.backend('i1'), undefined);
});

test('a whole list removes the entries that it lacks, except newer ones', (t) => {
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
  t.truthy(fleet.backend('newer'), 'a list that is older than the known one is not applied');
});

test('two peers that merge their snapshots both end up with the newest state', (t) => {
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

test('a backend that announced its shutdown counts as draining, and peers get its entry as published', (t) => {
  const fleet = new FleetState();
  const departures: unknown[] = [];
  fleet.onDeparture((departure) => departures.push(departure));
  fleet.applyBackend(10, backend('i1'));
  const { routingDigest } = fleet;
  fleet.recordAnnouncedShutdown('i1', 'answer');
  fleet.recordAnnouncedShutdown('i1', 'peer');
  t.deepEqual(departures, [{ id: 'i1', state: 'draining', revision: 10, via: 'answer' }]);
  t.true(fleet.isLeaving('i1'));
  t.is(fleet.backend('i1')?.state, 'draining');
  t.deepEqual(
    fleet.backendsOf('llm').map(({ state }) => state),
    ['draining'],
  );
  t.deepEqual(fleet.leavingBackendsListedReady('llm'), ['i1']);
  t.is(fleet.listing().backends[0]?.value.state, 'ready');
  t.is(fleet.routingDigest, routingDigest);
  fleet.applyBackend(20, backend('i1', 'draining'));
  t.deepEqual(fleet.leavingBackendsListedReady('llm'), [], 'all nodes that read the list know it now');
  t.is(departures.length, 1);
});

test('an announcement applies to one process: before it is listed, after its entry expired, but not after a restart', (t) => {
  const fleet = new FleetState();
  fleet.recordAnnouncedShutdown('i1', 'answer');
  fleet.applyBackend(10, backend('i1'));
  t.is(fleet.backend('i1')?.state, 'draining');
  fleet.removeBackend(20, 'i1');
  fleet.replaceBackends(30, [
    { revision: 25, value: backend('i1') },
    { revision: 30, value: backend('i1@2') },
  ]);
  t.true(fleet.isLeaving('i1'));
  t.is(fleet.backend('i1')?.state, 'draining');
  t.false(fleet.isLeaving('i1@2'));
});

test('announcements of listed backends are kept, however many others there are', (t) => {
  const fleet = new FleetState();
  fleet.applyBackend(1, backend('listed'));
  fleet.recordAnnouncedShutdown('listed', 'answer');
  for (let index = 0; index < 5000; index += 1) fleet.recordAnnouncedShutdown(`gone-${index}`, 'answer');
  t.true(fleet.isLeaving('listed'));
  t.false(fleet.hasAnnouncedShutdown('gone-0'), 'the number of announcements kept is bounded');
});
