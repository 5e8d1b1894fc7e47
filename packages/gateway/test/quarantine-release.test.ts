/**
 * A request that many callers send in the same form is running on several backends when they fail together.
 * Completed runs that were sent later than those show that the failures had another cause.
 */
import test from 'ava';
import { COMPLETED_METHOD } from '../src/cluster/fleet-quarantine.js';
import { QuarantineFleet } from './quarantine-fleet.js';

const SETTLED_MS = 15_000;
/** Time within which all nodes must know of a quarantine and of its end. */
const KNOWN_WITHIN_MS = 3000;
const CALLERS = ['n7', 'n8', 'n9'];

async function startFleet(seed: number): Promise<QuarantineFleet> {
  const fleet = new QuarantineFleet(12, seed);
  await fleet.run(SETTLED_MS);
  return fleet;
}

/** Three backends fail at one moment, while each ran the request for `runMs`. */
function interrupt(fleet: QuarantineFleet, runMs: number, backends = 'b'): void {
  for (const [index, id] of CALLERS.entries())
    void fleet.node(id).interrupted('f', `${backends}${index}`, runMs);
}

// Guards against refusing a common request for an hour although a run that was on its way when three backends
// failed is completed.
test('a run sent after the interrupted ones releases the request at all nodes when it completes', async (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const fleet = await startFleet(seed);
    interrupt(fleet, 300);
    await fleet.run(KNOWN_WITHIN_MS);
    t.is(fleet.quarantinedAt('f').length, 12, `seed ${seed}: quarantined`);
    fleet.node('n10').completed('f', KNOWN_WITHIN_MS + 200);
    await fleet.run(KNOWN_WITHIN_MS);
    t.deepEqual(fleet.quarantinedAt('f'), [], `seed ${seed}: released`);
  }
});

// Guards against releasing a request that begins to crash backends, by runs that were sent before it did.
test('a run sent before the interrupted ones does not release the request', async (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const fleet = await startFleet(seed);
    for (const id of fleet.ids) fleet.node(id).completed('f', 100);
    await fleet.run(100);
    interrupt(fleet, 50);
    for (const id of fleet.ids) fleet.node(id).completed('f', 100);
    await fleet.run(2 * KNOWN_WITHIN_MS);
    t.is(fleet.quarantinedAt('f').length, 12, `seed ${seed}`);
  }
});

// Guards against counting the interruptions of a released request again, which would quarantine it at the next one.
test('a released request is quarantined again only by three more backends', async (t) => {
  const fleet = await startFleet(1);
  interrupt(fleet, 300);
  await fleet.run(KNOWN_WITHIN_MS);
  fleet.node('n10').completed('f', KNOWN_WITHIN_MS + 200);
  await fleet.run(KNOWN_WITHIN_MS);
  void fleet.node('n7').interrupted('f', 'c0');
  void fleet.node('n8').interrupted('f', 'c1');
  await fleet.run(KNOWN_WITHIN_MS);
  t.deepEqual(fleet.quarantinedAt('f'), []);
  void fleet.node('n9').interrupted('f', 'c2');
  await fleet.run(KNOWN_WITHIN_MS);
  t.is(fleet.quarantinedAt('f').length, 12);
});

// Guards against quarantining a request that is served all the time when a node becomes a home: the nodes tell it
// of all interruptions within ten minutes.
test('a home that restarts does not count interruptions that completed runs had cleared', async (t) => {
  const fleet = await startFleet(2);
  for (const [index, id] of CALLERS.entries()) {
    void fleet.node(id).interrupted('f', `b${index}`, 50);
    await fleet.run(KNOWN_WITHIN_MS);
    for (const node of fleet.ids) fleet.node(node).completed('f', 50);
    await fleet.run(KNOWN_WITHIN_MS);
  }
  for (const home of fleet.homes()) {
    fleet.restart(home);
    await fleet.run(SETTLED_MS);
  }
  t.deepEqual(fleet.quarantinedAt('f'), []);
});

test('a node that starts after the release learns of it, though a stopped home had published the quarantine', async (t) => {
  const fleet = await startFleet(3);
  interrupt(fleet, 300);
  await fleet.run(KNOWN_WITHIN_MS);
  const [home] = fleet.homes();
  fleet.stop(home ?? '');
  fleet.node('n10').completed('f', KNOWN_WITHIN_MS + 200);
  await fleet.run(KNOWN_WITHIN_MS);
  fleet.restart('n11');
  await fleet.run(KNOWN_WITHIN_MS);
  t.deepEqual(fleet.quarantinedAt('f'), []);
});

test('homes of a build that knows no ages are told only of runs sent when the request was a suspect', async (t) => {
  const fleet = await startFleet(4);
  for (const id of fleet.ids) fleet.forgetMethods(id, [COMPLETED_METHOD]);
  void fleet.node('n7').interrupted('f', 'b0');
  void fleet.node('n8').interrupted('f', 'b1');
  await fleet.run(KNOWN_WITHIN_MS);
  // Sent before the interruptions: it must not clear them.
  fleet.node('n9').completed('f', 2 * KNOWN_WITHIN_MS);
  await fleet.run(KNOWN_WITHIN_MS);
  void fleet.node('n9').interrupted('f', 'b2');
  await fleet.run(KNOWN_WITHIN_MS);
  t.is(fleet.quarantinedAt('f').length, 12);
});

// Guards against releasing a request by a run whose age lacks the time for which a machine was suspended.
test('a run during which its node or the home was suspended does not release the request', async (t) => {
  for (const isHomeSuspended of [false, true]) {
    const fleet = await startFleet(5);
    interrupt(fleet, 300);
    await fleet.run(KNOWN_WITHIN_MS);
    for (const id of isHomeSuspended ? fleet.homes() : ['n10']) fleet.noticeSuspension(id);
    fleet.node('n10').completed('f', KNOWN_WITHIN_MS + 200);
    await fleet.run(KNOWN_WITHIN_MS);
    t.is(fleet.quarantinedAt('f').length, 12, isHomeSuspended ? 'homes' : 'node');
  }
});

// Guards against lists that outgrow a datagram: an update that does not fit is never sent.
test('full lists of quarantined, suspected and released requests reach all nodes', async (t) => {
  const fleet = await startFleet(6);
  const fingerprints = Array.from(
    { length: 32 },
    (_, index) => `${String(index).padStart(2, '0')}-fingerprint-`,
  );
  const crash = (fingerprint: string, backends: number, round: string): void => {
    for (const [index, id] of CALLERS.slice(0, backends).entries())
      void fleet.node(id).interrupted(fingerprint, `${round}${index}`);
  };
  for (const fingerprint of fingerprints) crash(fingerprint, 3, 'first');
  await fleet.run(KNOWN_WITHIN_MS);
  for (const fingerprint of fingerprints) fleet.node('n10').completed(fingerprint);
  await fleet.run(2 * KNOWN_WITHIN_MS);
  for (const fingerprint of fingerprints) t.deepEqual(fleet.quarantinedAt(fingerprint), [], 'released');
  for (const fingerprint of fingerprints) crash(fingerprint, 3, 'second');
  for (let index = 0; index < 12; index += 1)
    crash(`${String(index).padStart(2, '0')}-suspicious--`, 2, 'third');
  await fleet.run(2 * KNOWN_WITHIN_MS);
  for (const fingerprint of fingerprints) t.is(fleet.quarantinedAt(fingerprint).length, 12, fingerprint);
});
