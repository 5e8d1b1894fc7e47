/**
 * Homes count the crashes that other nodes report to them. Those nodes may have ended when a home is replaced, as in a
 * rolling restart of the fleet.
 */
import test from 'ava';
import { QuarantineFleet } from './quarantine-fleet.js';

const NODES = 12;
const SETTLED_MS = 15_000;
const HOME_RETURN_MS = 4000;

async function crashTwice(fleet: QuarantineFleet): Promise<void> {
  await fleet.run(SETTLED_MS);
  void fleet.node('n9').interrupted('f', 'b0');
  void fleet.node('n10').interrupted('f', 'b1');
  await fleet.run(1000);
}

async function restartInTurn(fleet: QuarantineFleet, ids: readonly string[]): Promise<void> {
  for (const id of ids) {
    fleet.restart(id);
    await fleet.run(HOME_RETURN_MS);
  }
}

// Guards against forgetting the crashes under a request while all nodes that saw or counted them restart in turn.
test('crashes are still counted when the nodes that reported them and all homes have restarted in turn', async (t) => {
  for (const seed of [1, 2, 3]) {
    const fleet = new QuarantineFleet(NODES, seed);
    await crashTwice(fleet);
    await restartInTurn(fleet, ['n9', 'n10', ...fleet.homes()]);
    void fleet.node('n8').interrupted('f', 'b2');
    await fleet.run(3000);
    t.is(fleet.quarantinedAt('f').length, NODES, `seed ${seed}`);
  }
});

// Guards against a new home counting crashes that a completed run has shown to have another cause.
test('crashes before a completed run are not handed on to a new home', async (t) => {
  const fleet = new QuarantineFleet(NODES, 4);
  await crashTwice(fleet);
  fleet.node('n8').completed('f');
  await fleet.run(3000);
  await restartInTurn(fleet, ['n9', 'n10', ...fleet.homes()]);
  void fleet.node('n7').interrupted('f', 'b2');
  await fleet.run(3000);
  t.deepEqual(fleet.quarantinedAt('f'), []);
});

/** Three runs on different backends end unseen; returns the nodes that keep the request once the backends have left. */
async function quarantinedAfterUnseenRuns(states: readonly ('draining' | 'gone')[]): Promise<number> {
  const fleet = new QuarantineFleet(NODES, 5);
  await fleet.run(SETTLED_MS);
  const backends = ['b0', 'b1', 'b2'];
  for (const backend of backends) fleet.node('n8').unresolved('f', backend, 50);
  for (const backend of backends)
    for (const state of states) fleet.node('n8').handleDeparture(backend, state);
  await fleet.run(3000);
  return fleet.quarantinedAt('f').length;
}

test('runs that ended unseen count when their backend has gone without a word, and not when it announced that', async (t) => {
  t.is(await quarantinedAfterUnseenRuns(['gone']), NODES);
  t.is(await quarantinedAfterUnseenRuns(['draining', 'gone']), 0);
});
