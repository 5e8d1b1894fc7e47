import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import type { BackendDescription, BackendService, HttpRoute } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { GatewayMetrics } from '../src/gateway-metrics.js';
import type { RequestFacts } from '../src/request/dialect.js';
import { StreamBinding } from '../src/request/stream-binding.js';
import type { BegunStream, FoundVersion } from '../src/streams/stream-versions.js';

const SERVICE: BackendService = { name: 'llm', maxConnections: 10, engine: undefined };
const ROUTE: HttpRoute = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  services: [],
  timeoutMs: 5000,
  patienceMs: 3000,
  objectiveMs: 800,
  priority: 0,
  attempts: 2,
  resumable: true,
  isPublic: false,
};
const FACTS: RequestFacts = {
  attemptId: 'second',
  deadlineMs: 5000,
  lastEventId: undefined,
  resumedAttemptId: undefined,
  generation: undefined,
  key: undefined,
  tokens: undefined,
  sharedParts: [],
};
const RESUMED = { lastEventId: 4, resumedAttemptId: 'first' };

function backend(softwareVersion: string | undefined): BackendDescription {
  const described = {
    id: 'i',
    service: 'llm',
    address: socketAddress('10.0.0.1:1'),
    zone: 'a',
    state: 'ready',
    slots: 1,
  } as const;
  return { ...described, models: [], ...(softwareVersion === undefined ? {} : { softwareVersion }) };
}

function newBinding(
  facts: Partial<RequestFacts>,
  found?: FoundVersion,
): { binding: StreamBinding; begun: BegunStream[] } {
  const begun: BegunStream[] = [];
  const clock = new VirtualClock();
  const context = {
    clock,
    streamVersions: {
      began: (stream: BegunStream) => void begun.push(stream),
      find: () => Promise.resolve(found),
    },
    telemetry: new Telemetry({ processName: 'test', clock }),
    metrics: new GatewayMetrics(),
  };
  return { binding: new StreamBinding(context, { ...FACTS, ...facts }), begun };
}

test('a stream is bound to the version of the backend that began it, and remembered by its attempt', async (t) => {
  const { binding, begun } = newBinding({});
  t.true(await binding.resume(ROUTE, SERVICE));
  t.is(binding.version, undefined);
  t.true(binding.allows(backend('v1')));
  binding.began(ROUTE, SERVICE, backend('v2'));
  t.false(binding.allows(backend('v1')));
  t.false(binding.allows(backend(undefined)));
  t.true(binding.allows(backend('v2')));
  t.like(begun[0], { service: 'llm', attemptId: 'second', version: 'v2' });
});

test('a stream that the client resumes is bound to the version that began it, under its first attempt', async (t) => {
  const { binding, begun } = newBinding(RESUMED, { version: 'v1', from: 'peer' });
  t.true(await binding.resume(ROUTE, SERVICE));
  t.is(binding.version, 'v1');
  binding.began(ROUTE, SERVICE, backend('v1'));
  t.like(begun[0], { attemptId: 'first', version: 'v1' });
});

test('a stream whose version is not known is not continued', async (t) => {
  const { binding } = newBinding(RESUMED);
  t.false(await binding.resume(ROUTE, SERVICE));
});

test('streams that may not be resumed are not bound', async (t) => {
  const route = { ...ROUTE, resumable: false };
  const { binding, begun } = newBinding(RESUMED);
  t.true(await binding.resume(route, SERVICE));
  binding.began(route, SERVICE, backend('v1'));
  t.is(binding.version, undefined);
  t.deepEqual(begun, []);
});
