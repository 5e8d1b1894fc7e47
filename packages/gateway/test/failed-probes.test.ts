/** Probes and answers of peers that fail by an error: nothing but that check may end, and the next one starts anew. */
import { socketAddress, type SocketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { anyTrue } from '../src/paths/any-true.js';
import { BackendPaths } from '../src/paths/backend-paths.js';
import { BackendResponsiveness } from '../src/paths/backend-responsiveness.js';
import { httpProbe } from '../src/paths/http-probe.js';

const SERVICE = 'api';
const FAILURE = new Error('probe failed');

class Log {
  readonly names: string[] = [];
  event(level: string, name: string, subject: string): void {
    this.names.push(`${level} ${name} ${subject}`);
  }
}

function backend(id: string): BackendDescription {
  const address = socketAddress(`10.0.0.${id}:1`);
  return { id, service: SERVICE, address, zone: 'a', state: 'ready', slots: 4, models: [] };
}

function fleetOf(...ids: string[]): FleetState {
  const fleet = new FleetState();
  for (const [index, id] of ids.entries()) fleet.applyBackend(index + 1, backend(id));
  return fleet;
}

// One probe that rejected made the result of all reject, and left an unhandled rejection of its own.
test('a result that rejects counts as false and is logged', async (t) => {
  const log = new Log();
  const failed = (): Promise<boolean> => Promise.reject(FAILURE);
  t.true(await anyTrue(log, 'probe', [failed(), Promise.resolve(true)]));
  t.false(await anyTrue(log, 'probe', [failed(), Promise.resolve(false)]));
  t.false(await anyTrue(log, 'probe', [failed(), failed()]));
  t.false(await anyTrue(log, 'probe', []));
  t.deepEqual(log.names, Array<string>(4).fill('error task.failed probe'));
});

// The probe of an address with such a port rejected, which ended the process with all its streams.
test('a probe of an address that no request can be made to resolves to false and is logged', async (t) => {
  const log = new Log();
  t.false(await httpProbe('/', log).answers('127.0.0.1:70000' as SocketAddress, 100));
  t.deepEqual(log.names, ['error probe.failed 127.0.0.1:70000']);
});

// The probe that had failed stayed the shared one, so that the backend was never probed again.
test('after a probe that failed, a backend is probed again', async (t) => {
  const clock = new VirtualClock();
  const log = new Log();
  let probes = 0;
  const responsiveness = new BackendResponsiveness({
    clock,
    random: new Random(1),
    fleet: fleetOf('1'),
    connections: { lastReceivedMs: () => 0 },
    probe: { answers: () => ((probes += 1) === 1 ? Promise.reject(FAILURE) : Promise.resolve(true)) },
    telemetry: log,
  });
  await t.throwsAsync(responsiveness.answers(backend('1')), { is: FAILURE });
  await clock.runUntil(clock.now());
  t.true(await responsiveness.answers(backend('1')));
  t.deepEqual(log.names, ['error task.failed backend-probe']);
});

// A check that failed ended the watch of its service for the life of the process.
test('a service is watched on after a check that failed', async (t) => {
  const clock = new VirtualClock();
  const fleet = fleetOf('1', '2', '3');
  let failures = 2;
  const failing = {
    backend: (id: string) => fleet.backend(id),
    backendsOf: (service: string) => {
      if ((failures -= 1) >= 0) throw FAILURE;
      return fleet.backendsOf(service);
    },
  };
  const paths = new BackendPaths({
    clock,
    random: new Random(1),
    fleet: failing,
    probe: { answers: () => Promise.resolve(false) },
    telemetry: new Telemetry({ processName: 'test', clock }),
    onChange: () => undefined,
  });
  paths.beginWait(SERVICE);
  await clock.runUntil(5000);
  t.is(paths.state(SERVICE), 'lost');
  paths.stop();
});
