/**
 * Guards against asking a leader for a slot for a client that has left: nothing withdraws such a request, so it stands in
 * the leader's queue before those of clients that still wait, is granted a slot, and counts as served. A client may leave
 * while its node waits for backends that asked for a backoff.
 */
import { socketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import test from 'ava';
import { BackendAvailability } from '../src/backends/backend-availability.js';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { GrantedBackendPicker, type PlainSlotSource } from '../src/backends/granted-backend-picker.js';
import { LeastLoadedPicker } from '../src/backends/least-loaded-picker.js';
import { RemoteSlots } from '../src/cluster/remote-slots.js';
import { noRateLimits } from './no-rate-limits.js';
import { newContext } from './scarce-backends-simulation.js';
import { SERVICE, SimulatedLeader, SimulatedLink } from './simulated-leader.js';

const ADDRESS = socketAddress('10.0.0.1:1');
const BACKOFF_MS = 100;
/** The client leaves while its node waits for the end of the backoff. */
const CLIENT_LEAVES_MS = 50;
const LOOK_MS = 200;

test('a request whose client left while its node waited for a backoff does not wait at the leader', async (t) => {
  const clock = new VirtualClock();
  const fleet = new FleetState();
  const backend = {
    service: SERVICE,
    address: socketAddress('10.0.0.1:1'),
    zone: 'z',
    state: 'ready',
    slots: 1,
    models: [],
  } as const;
  fleet.applyBackend(1, { id: 'a', ...backend });
  const leader = new SimulatedLeader(clock, fleet);
  // The backend's slot, and the one request beyond it that is granted.
  for (const id of ['t1', 't2']) {
    const taken = newContext(id);
    leader.pool.acquire({ ...taken, route: 'r', objectiveMs: taken.route.objectiveMs }, () => undefined);
  }
  const link = new SimulatedLink(clock, leader, (decision) => remote.onDecided(decision));
  const remote: RemoteSlots = new RemoteSlots(
    clock,
    { to: () => link, drop: () => undefined },
    () => undefined,
  );
  const slots: PlainSlotSource = {
    isGranted: () => true,
    acquirePlain: (pool, request, cancelled, answerWithinMs) =>
      remote.acquireUnlessSilent(ADDRESS, pool, request, cancelled, answerWithinMs),
    maxWithoutGrant: () => undefined,
    runningOn: () => 0,
    startedWithoutGrant: () => undefined,
    release: () => undefined,
  };
  const backoffs = new BackendBackoffs(clock);
  const rateLimits = noRateLimits(clock);
  const options = { fleet, backoffs, rateLimits, clock, hasOtherServingNodes: () => true };
  const availability = new BackendAvailability(options);
  const own = new LeastLoadedPicker(fleet, availability, clock, new Random(1));
  const picker = new GrantedBackendPicker(fleet, availability, slots, own, clock, 'z');

  backoffs.record('a', BACKOFF_MS);
  const client = new AbortController();
  void picker.pick(newContext('left'), client.signal);
  await clock.runUntil(CLIENT_LEAVES_MS);
  client.abort();
  await clock.runUntil(LOOK_MS);
  t.is(leader.pool.describe().waiting, 0, 'requests that wait at the leader, of a client that has left');
});
