import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import { FleetState, VersionGrace, type BackendDescription, type HttpRoute } from '@canvasridge/serving';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { AdapterVersionCheck } from '../src/backends/adapter-version-check.js';
import type { PickedBackend } from '../src/backends/picker.js';
import type { RequestFacts } from '../src/request/dialect.js';
import { WriteCheck } from '../src/request/write-check.js';
import { configuration } from './harness.js';

const ENGINE: BackendDescription = {
  id: 'e1',
  service: 'llm',
  address: socketAddress('127.0.0.1:1'),
  zone: 'z',
  state: 'ready',
  slots: 4,
  models: [],
};
const ROUTE = configuration({}).routes[0] as HttpRoute;
const FACTS: RequestFacts = {
  attemptId: 'a1',
  deadlineMs: undefined,
  lastEventId: undefined,
  resumedAttemptId: undefined,
  generation: { model: 'm', adapter: 'x', promptTokens: 1, promptKey: undefined },
  sharedParts: [],
  key: undefined,
  tokens: undefined,
};
const BOUND_MS = 1000;

interface CheckSetup {
  readonly clock: VirtualClock;
  readonly fleet: FleetState;
  readonly check: WriteCheck;
  readonly lines: string[];
}

function setup(): CheckSetup {
  const clock = new VirtualClock();
  const fleet = new FleetState();
  const lines: string[] = [];
  const logger = new EventLogger('test', 'info', (line) => lines.push(line));
  const check = new WriteCheck(
    {
      fleet,
      availability: { isBackingOff: () => false },
      adapterVersions: new AdapterVersionCheck(fleet, new VersionGrace({ clock, fleet, boundMs: BOUND_MS })),
      isListTooOld: () => false,
      telemetry: new Telemetry({ processName: 'test', clock, logger }),
    },
    FACTS,
    { isAllowed: () => true },
  );
  fleet.applyBackend(1, ENGINE);
  fleet.applyAdapterVersion({ model: 'm', adapter: 'x', version: 2 }, 'change');
  return { clock, fleet, check, lines };
}

function granted(adapterVersion: number | undefined): PickedBackend {
  return {
    kind: 'picked',
    backend: ENGINE,
    adapterVersion,
    how: 'granted',
    isChargedToRateLimit: false,
    started: () => undefined,
    finish: () => undefined,
  };
}

// Guards against requests on an old version by a grant that waited, or that came from a leader that knows less.
test('a request is not written to an engine whose adapter has become outdated since it was granted', async (t) => {
  const { clock, check, lines } = setup();
  t.is(check.reasonNotToWrite(ROUTE, granted(1)), undefined);
  await clock.runUntil(BOUND_MS);
  t.is(check.reasonNotToWrite(ROUTE, granted(1)), 'old-adapter');
  t.is(check.reasonNotToWrite(ROUTE, granted(2)), undefined);
  t.regex(lines.join('\n'), /adapter\.outdated .*backend=e1 adapter=x held=1 required=2 how=granted/);
});

test('an engine that is listed with the published version may get the request, whatever its leader knew', async (t) => {
  const { clock, fleet, check } = setup();
  await clock.runUntil(BOUND_MS);
  fleet.applyBackend(2, {
    ...ENGINE,
    models: [{ name: 'm', adapters: [{ name: 'x', version: 2 }] }],
  });
  t.is(check.reasonNotToWrite(ROUTE, granted(1)), undefined);
});

// Guards against requests on an old version that a leader of an earlier build grants.
test('an engine has to check its version itself if the leader that granted it does not tell one', async (t) => {
  const { clock, check } = setup();
  t.is(check.expectedVersion(granted(undefined)), undefined);
  await clock.runUntil(BOUND_MS);
  t.is(check.reasonNotToWrite(ROUTE, granted(undefined)), undefined);
  t.is(check.expectedVersion(granted(undefined)), 2);
  t.is(check.expectedVersion(granted(2)), undefined);
});
