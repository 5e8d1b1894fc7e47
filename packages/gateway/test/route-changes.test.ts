import type { HttpRoute } from '@canvasridge/serving';
import test from 'ava';
import { routeChanges } from '../src/cluster/route-changes.js';

function route(name: string, changes: Partial<HttpRoute> = {}): HttpRoute {
  return {
    name,
    host: 'h',
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    services: [{ service: 'ledger', weight: 1 }],
    timeoutMs: 4000,
    patienceMs: undefined,
    objectiveMs: 400,
    priority: 2,
    attempts: 2,
    resumable: false,
    isPublic: false,
    ...changes,
  };
}

test('added, changed and removed routes are counted, and the first ones named with their limits', (t) => {
  const before = [route('a'), route('b'), route('c')];
  const after = [route('a'), route('b', { timeoutMs: 400 }), route('d', { priority: 5 })];
  t.deepEqual(routeChanges(before, after), {
    added: 1,
    changed: 1,
    removed: 1,
    details: 'd:/d/,priority=5,objectiveMs=400,timeoutMs=4000 b:/b/,priority=2,objectiveMs=400,timeoutMs=400',
  });
});

test('a configuration with the same routes has no changes', (t) => {
  t.deepEqual(routeChanges([route('a')], [route('a')]), { added: 0, changed: 0, removed: 0 });
});

test('few of many added routes are named', (t) => {
  const { added, details = '' } = routeChanges(
    [],
    Array.from({ length: 1000 }, (_, index) => route(`r${index}`)),
  );
  t.is(added, 1000);
  t.is(details.split(' ').length, 4);
});
