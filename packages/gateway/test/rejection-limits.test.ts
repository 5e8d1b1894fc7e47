/** How nodes learn and forget that the backends of a service fail when they turn many requests away. */
import type { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { RejectionLimits } from '../src/backends/rejection-limits.js';
import { VirtualClusters } from './virtual-clusters.js';

function newSetup(): { nodes: VirtualClusters; limits: RejectionLimits[] } {
  const ids = ['n1', 'n2', 'n3'];
  const nodes = new VirtualClusters(
    ids.map((id) => ({ id, capacity: 1, processToken: id })),
    ids,
    { oneWayMs: 1, lossShare: 0, seed: 1 },
  );
  const clock: VirtualClock = nodes.clock;
  const limits = [...nodes.clusters.values()].map(
    (cluster) =>
      new RejectionLimits({ clock, cluster, telemetry: new Telemetry({ processName: 'test', clock }) }),
  );
  return { nodes, limits };
}

test('all nodes learn a limit that one of them hears, and forget it when its answers name none', async (t) => {
  const { nodes, limits } = newSetup();
  await nodes.clock.runUntil(3000);
  limits[0]?.recordNotice('api', 5);
  await nodes.clock.runUntil(4000);
  t.deepEqual(
    limits.map((each) => each.perSecond('api')),
    [5, 5, 5],
  );
  limits[0]?.recordNotice('api', 'none');
  await nodes.clock.runUntil(5000);
  t.deepEqual(
    limits.map((each) => each.perSecond('api')),
    [undefined, undefined, undefined],
  );
});

test('a limit is forgotten when no answer named it for long', async (t) => {
  const { nodes, limits } = newSetup();
  await nodes.clock.runUntil(3000);
  limits[0]?.recordNotice('api', 5);
  await nodes.clock.runUntil(20_000);
  for (const each of limits) each.update();
  await nodes.clock.runUntil(21_000);
  t.deepEqual(
    limits.map((each) => each.perSecond('api')),
    [undefined, undefined, undefined],
  );
});
