/**
 * A machine may be suspended for seconds: its steady clock stands still meanwhile, and its timers with it; the time of day goes on.
 *
 * All ages by which a node knows how far it may rely on what it was told were differences of the steady clock. After eight
 * seconds of suspension a list, a configuration or a lease was as old to it as before, so that it ran keys that had been
 * withdrawn, and gave orders beside the holder that had followed it, before anything told it that time had passed.
 * Shown by a node on real sockets whose time of day goes on without its steady clock, and by leaders in virtual time.
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

/** Of a machine that can be made to have been suspended. */
class LaggingClock extends SystemClock {
  #lostMs = 0;

  override wallTime(): number {
    return super.wallTime() + this.#lostMs;
  }

  /** The time of day goes on by so much, the steady clock does not. */
  lose(durationMs: number): void {
    this.#lostMs += durationMs;
  }
}

test('a node that was suspended runs no key before it knows the configuration to be recent again', async (t) => {
  const clock = new LaggingClock();
  const tenants = { all: [tenant('one', ['key'])], lease: keyLease(REVOCATION_MS) };
  const running = await startNode(t, { graceMs: GRACE_MS, tenants, clock }, (socket, id) =>
    socket.write(success(id, 'answer')),
  );
  t.teardown(() => running.node.stop());
  const { published, fleetClock } = running.node;
  published.configurationConfirmed(fleetClock.now());
  const headers = { key: 'key' };
  t.is((await callNode(running.port, 'before', { headers })).status, 200);
  clock.lose(SUSPENDED_MS);
  t.is((await callNode(running.port, 'woken', { headers })).status, 503);
  t.deepEqual(running.attempts, ['before']);
  published.configurationConfirmed(fleetClock.now());
  t.is((await callNode(running.port, 'after', { headers })).status, 200);
});

/** Of 1,200 plays (2 to 7 nodes, 1.6 to 8 s, 60 seeds) 23 showed such orders. These are the first of them. */
const PLAYS = [
  { nodes: 5, suspendedMs: 8000, seed: 7 },
  { nodes: 3, suspendedMs: 8000, seed: 10 },
  { nodes: 7, suspendedMs: 8000, seed: 13 },
  { nodes: 3, suspendedMs: 2500, seed: 18 },
  { nodes: 7, suspendedMs: 8000, seed: 19 },
  { nodes: 5, suspendedMs: 5000, seed: 21 },
  { nodes: 7, suspendedMs: 3500, seed: 29 },
  // The only one left once ages went on: the woken leader was not told that another one had been elected meanwhile.
  { nodes: 7, suspendedMs: 2500, seed: 31 },
];
/** Spreads the moment of the suspension over the leader's periods. */
const PHASE_MS = 137;

test('a leader that was suspended takes no turns with the next one', async (t) => {
  t.timeout(120_000);
  const found: string[] = [];
  for (const { nodes, suspendedMs, seed } of PLAYS) {
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
