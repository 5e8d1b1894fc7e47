/** When a node considers its path to the backends of a service lost, limited or working. */
import { socketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { BackendPaths } from '../src/paths/backend-paths.js';
import type { PathState } from '../src/paths/service-path.js';

const SERVICE = 'api';
const PROBE_MS = 5;

interface Setup {
  readonly clock: VirtualClock;
  readonly paths: BackendPaths;
  /** Addresses that answer probes. */
  readonly answering: Set<string>;
  readonly changes: PathState[];
  readonly probes: () => number;
}

function newSetup(backends = 4): Setup {
  const clock = new VirtualClock();
  const fleet = new FleetState();
  const answering = new Set<string>();
  for (let index = 1; index <= backends; index += 1) {
    const [id, address] = [`i${index}`, `10.0.0.${index}:1`];
    fleet.applyBackend(index, {
      id,
      service: SERVICE,
      address: socketAddress(address),
      zone: 'a',
      state: 'ready',
      slots: 4,
      models: [],
    });
    answering.add(address);
  }
  const changes: PathState[] = [];
  let probes = 0;
  const paths = new BackendPaths({
    clock,
    random: new Random(1),
    fleet,
    probe: {
      answers: async (address, timeoutMs) => {
        probes += 1;
        const isAnswering = answering.has(address);
        await clock.sleep(isAnswering ? PROBE_MS : timeoutMs);
        return isAnswering;
      },
    },
    telemetry: new Telemetry({ processName: 'test', clock }),
    onChange: (_, state) => changes.push(state),
  });
  return { clock, paths, answering, changes, probes: () => probes };
}

test('a path is lost when requests wait in silence and no backend answers a probe, and works when some answer again', async (t) => {
  const { clock, paths, answering, changes } = newSetup();
  const addresses = [...answering];
  answering.clear();
  paths.beginWait(SERVICE);
  await clock.runUntil(1000);
  t.is(paths.state(SERVICE), 'lost');
  for (const address of addresses) answering.add(address);
  await clock.runUntil(3000);
  t.is(paths.state(SERVICE), 'working');
  t.deepEqual(changes, ['lost', 'working']);
  paths.stop();
});

// Slow backends, or one that is silent for a second, are no sign of a lost path.
test('silence alone is no loss, and is checked less and less often', async (t) => {
  const { clock, paths, changes, probes } = newSetup();
  paths.beginWait(SERVICE);
  await clock.runUntil(10_000);
  t.deepEqual(changes, []);
  t.true(probes() <= 3 * 5, `${probes()} probes`);
  paths.endWait(SERVICE);
  paths.stop();
});

test('a failure at one backend is its own while another answers', async (t) => {
  const { clock, paths, answering } = newSetup();
  answering.delete('10.0.0.2:1');
  const isOwn = paths.isOwnFailure('i2');
  await clock.runUntil(1000);
  t.false(await isOwn);
  paths.stop();
});

test("a failure is the node's own if no backend answers", async (t) => {
  const { clock, paths, answering } = newSetup();
  answering.clear();
  const isOwn = paths.isOwnFailure('i2');
  await clock.runUntil(1000);
  t.true(await isOwn);
  paths.stop();
});

// Cuts may leave open connections alone and refuse new ones.
test('a path over which data still arrives is limited, and lost when that ends while requests wait', async (t) => {
  const { clock, paths, answering } = newSetup();
  answering.clear();
  paths.beginWait(SERVICE);
  const isOwn = paths.isOwnFailure('i1');
  for (let atMs = 50; atMs <= 1000; atMs += 50) {
    await clock.runUntil(atMs);
    paths.received(SERVICE);
  }
  t.true(await isOwn);
  t.is(paths.state(SERVICE), 'limited');
  await clock.runUntil(3000);
  t.is(paths.state(SERVICE), 'lost');
  paths.stop();
});

test('the loss of another node is checked only if nothing arrived lately', async (t) => {
  const { clock, paths, probes } = newSetup();
  paths.received(SERVICE);
  paths.hint(SERVICE);
  await clock.runUntil(500);
  t.is(probes(), 0);
  await clock.runUntil(2000);
  paths.hint(SERVICE);
  await clock.runUntil(2500);
  t.true(probes() > 0);
  paths.stop();
});

// Peers said that they reach a service whose backends had all been silent for almost a second.
test('a peer that asks is told of a path over which nothing has arrived just now only after a check', async (t) => {
  const { clock, paths, answering } = newSetup();
  paths.received(SERVICE);
  t.true(await paths.reaches(SERVICE));
  answering.clear();
  await clock.runUntil(300);
  const isReached = paths.reaches(SERVICE);
  await clock.runUntil(1000);
  t.false(await isReached);
  paths.stop();
});

// The check of a path ended at once and was repeated at once, so that the process did nothing else.
test('a path to a service without ready backends is checked at intervals', async (t) => {
  const { clock, paths, changes, probes } = newSetup(0);
  paths.beginWait(SERVICE);
  await clock.runUntil(10_000);
  t.is(probes(), 0);
  t.deepEqual(changes, []);
  paths.stop();
});

// Each name that a peer asked about was kept until the process ended.
test('names of services that no backend serves are not kept when peers ask whether they are reached', async (t) => {
  const { clock, paths, probes } = newSetup();
  const answers = Array.from({ length: 100 }, (_, index) => paths.reaches(`made-up-${index}`));
  answers.push(paths.reaches(SERVICE));
  await clock.runUntil(PROBE_MS);
  t.deepEqual(new Set(await Promise.all(answers)), new Set([true]));
  t.is(paths.recordedServices, 1);
  t.true(probes() > 0);
});
