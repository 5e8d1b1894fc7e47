/**
 * A machine may be suspended for seconds: its monotonic clock and its timers stand still meanwhile, while the
 * system time advances.
 *
 * Every age by which a node decides how far it can rely on its knowledge was a difference of the monotonic
 * clock. After eight seconds of suspension a list, a configuration or a lease seemed as old as before, so
 * that the node accepted keys that had been revoked, and gave orders beside the holder that had replaced
 * it, before anything told it that time had passed. The tests reproduce this with a node on real sockets
 * whose system time advances without its monotonic clock, and with leaders in virtual time.
 */
import { SystemClock } from '@canvasridge/clock';
import test from 'ava';
import { keyLease } from '../src/index.js';
import { callNode, tenant } from './harness.js';
import { success } from './raw-backend.js';
import { startNode } from './running-node.js';
import { HolderFleet } from './virtual-holders.js';

const REVOCATION_MS = 5000;
const SUSPENDED_MS = 8000;
const SETTLED_MS = 12_000;
const GRACE_MS = 800;

/** Clock of a machine that can appear to have been suspended. */
class SuspendedClock extends SystemClock {
  #suspendedMs = 0;

  override wallTime(): number {
    return super.wallTime() + this.#suspendedMs;
  }

  /** Advances the system time by this much, but not the monotonic clock. */
  advanceSystemTime(durationMs: number): void {
    this.#suspendedMs += durationMs;
  }
}

test('a node that was suspended accepts no key until its configuration is confirmed again', async (t) => {
  const clock = new SuspendedClock();
  const tenants = { all: [tenant('one', ['key'])], lease: keyLease(REVOCATION_MS) };
  const running = await startNode(t, { graceMs: GRACE_MS, tenants, clock }, (socket, id) =>
    socket.write(success(id, 'answer')),
  );
  t.teardown(() => running.node.stop());
  const { published, fleetClock } = running.node;
  published.configurationConfirmed(fleetClock.now());
  const headers = { key: 'key' };
  t.is((await callNode(running.port, 'before', { headers })).status, 200);
  clock.advanceSystemTime(SUSPENDED_MS);
  t.is((await callNode(running.port, 'woken', { headers })).status, 503);
  t.deepEqual(running.attempts, ['before']);
  published.configurationConfirmed(fleetClock.now());
  t.is((await callNode(running.port, 'after', { headers })).status, 200);
});

/** Of 1,200 runs (2 to 7 nodes, 1.6 to 8 s, 60 seeds) 23 showed such orders. These are the first of them. */
const RUNS = [
  { nodes: 5, suspendedMs: 8000, seed: 7 },
  { nodes: 3, suspendedMs: 8000, seed: 10 },
  { nodes: 7, suspendedMs: 8000, seed: 13 },
  { nodes: 3, suspendedMs: 2500, seed: 18 },
  { nodes: 7, suspendedMs: 8000, seed: 19 },
  { nodes: 5, suspendedMs: 5000, seed: 21 },
  { nodes: 7, suspendedMs: 3500, seed: 29 },
  // The only failing run left once ages advanced during suspension: the woken leader did not learn that
  // another one had been elected meanwhile.
  { nodes: 7, suspendedMs: 2500, seed: 31 },
];
/** Spreads the time of the suspension over the leader's periods. */
const PHASE_MS = 137;

test('a leader that was suspended gives no orders alternating with those of the next leader', async (t) => {
  t.timeout(120_000);
  const found: string[] = [];
  for (const { nodes, suspendedMs, seed } of RUNS) {
    const fleet = new HolderFleet({ nodes, engines: 4, lossShare: 0.01, seed });
    await fleet.run(SETTLED_MS + ((seed * PHASE_MS) % 1000));
    const leader = fleet.leader();
    if (leader === undefined) throw new Error('no node leads');
    leader.clock.suspend();
    await fleet.run(suspendedMs);
    leader.clock.resume();
    await fleet.run(SUSPENDED_MS);
    fleet.stop();
    found.push(...fleet.violations.map((violation) => `${suspendedMs} ms, seed ${seed}, ${violation}`));
  }
  t.deepEqual(found, []);
});
