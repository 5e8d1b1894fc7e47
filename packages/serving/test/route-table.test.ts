import test from 'ava';
import { RouteTable, pickService, type HttpRoute, type ServingConfiguration } from '../src/index.js';

function route(name: string, host: string, pathPrefix: string): HttpRoute {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    services: [{ service: 'api', weight: 1 }],
    timeoutMs: 1000,
    patienceMs: undefined,
    objectiveMs: 200,
    priority: 1,
    attempts: 2,
    resumable: false,
    isPublic: false,
  };
}

function configuration(routes: readonly HttpRoute[], version = 1): ServingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes, services: [], limits, tenants: undefined };
}

const table = new RouteTable(
  configuration([
    route('root', 'a.example', '/'),
    route('one', 'a.example', '/one/'),
    route('deep', 'a.example', '/one/two/'),
    route('other', 'b.example', '/one/'),
  ]),
);

const cases: readonly (readonly [host: string, target: string, expected: string | undefined])[] = [
  ['a.example', '/one/two/x', 'deep'],
  ['a.example', '/one/two/', 'deep'],
  ['a.example', '/one/two', 'one'],
  ['a.example', '/one/x?path=/one/two/', 'one'],
  ['a.example', '/onetwo', 'root'],
  ['A.Example:8080', '/one/', 'one'],
  ['b.example', '/one/x', 'other'],
  ['b.example', '/two/', undefined],
  ['c.example', '/one/', undefined],
  ['a.example', '', undefined],
  ['a.example', '*', undefined],
];

for (const [host, target, expected] of cases) {
  test(`route of ${host} ${target} is ${expected ?? 'none'}`, (t) => {
    t.is(table.find(host, target)?.name, expected);
  });
}

test('services are picked by weight', (t) => {
  const services = [
    { service: 'x', weight: 90 },
    { service: 'y', weight: 10 },
    { service: 'z', weight: 0 },
  ];
  t.is(pickService(services, 0), 'x');
  t.is(pickService(services, 0.899), 'x');
  t.is(pickService(services, 0.901), 'y');
  t.is(pickService(services, 0.9999), 'y');
});
