import test from 'ava';
import { VirtualClock } from '@canvasridge/clock';
import type { EngineDefinition } from '@canvasridge/domain';
import type { Member } from '@canvasridge/membership';
import { WitnessTable, assignOwners, chooseWitnesses } from '../src/index.js';

function member(id: string, zone: string, state: Member['state'] = 'alive'): Member {
  return {
    id,
    zone,
    region: 'r',
    gossip: id,
    peerUrl: '',
    callerUrl: '',
    capacity: 0,
    processToken: 't',
    incarnation: 1,
    state,
  };
}

function engines(count: number, zones: number): EngineDefinition[] {
  return Array.from({ length: count }, (_unused, index) => ({
    id: `engine-${index}`,
    url: 'http://127.0.0.1:1',
    base: 'b',
    zone: `zone-${index % zones}`,
    slots: 1,
    maxBatch: 1,
    checksFence: true,
  }));
}

const nodes = Array.from({ length: 12 }, (_unused, index) => member(`node-${index}`, `zone-${index % 4}`));

test('engines are owned by members of their zone, and no member exceeds its bound', (t) => {
  const fleet = engines(40, 4);
  const owners = assignOwners(fleet, nodes);
  t.is(owners.size, fleet.length);
  for (const engine of fleet)
    t.is(nodes.find((node) => node.id === owners.get(engine.id))?.zone, engine.zone);
  for (const node of nodes) t.true([...owners.values()].filter((owner) => owner === node.id).length <= 5);
});

test('the assignment does not depend on the order of the members', (t) => {
  t.deepEqual(assignOwners(engines(40, 4), nodes), assignOwners(engines(40, 4), [...nodes].reverse()));
});

test('draining members own no engine, and the engines of a zone without members go to other zones', (t) => {
  const draining = nodes.map((node) =>
    node.zone === 'zone-0' ? { ...node, state: 'draining' as const } : node,
  );
  const owners = assignOwners(engines(8, 4), draining);
  t.is(owners.size, 8);
  for (const owner of owners.values()) t.not(draining.find((node) => node.id === owner)?.state, 'draining');
});

test('when a member leaves, few engines of other members move', (t) => {
  const fleet = engines(60, 4);
  const before = assignOwners(fleet, nodes);
  const after = assignOwners(fleet, nodes.slice(1));
  const ownedByLeaver = fleet.filter((engine) => before.get(engine.id) === 'node-0').length;
  const moved = fleet.filter((engine) => before.get(engine.id) !== after.get(engine.id)).length;
  t.true(moved <= ownedByLeaver + 5, `${moved} moved, ${ownedByLeaver} had to move`);
});

test('a witness grants a lease to one holder at a time, until it expires', async (t) => {
  const clock = new VirtualClock();
  const table = new WitnessTable(clock, 1000);
  t.false(
    table.grant('e', 'a', 500),
    'a witness that has just started grants nothing, as it does not know the leases of its predecessor',
  );
  await clock.runUntil(1000);
  t.true(table.grant('e', 'a', 500));
  t.false(table.grant('e', 'b', 500));
  await clock.runUntil(1400);
  t.true(table.grant('e', 'a', 500), 'the holder can renew');
  await clock.runUntil(1800);
  t.false(table.grant('e', 'b', 500));
  await clock.runUntil(1900);
  t.true(table.grant('e', 'b', 500));
  table.release('e', 'a');
  t.false(table.grant('e', 'a', 500), 'only the holder can release a lease');
});

test('the choice of witnesses does not depend on the order of nodes, and is limited to five', (t) => {
  const listed = nodes.map((node) => node.id);
  t.is(chooseWitnesses('e', listed).length, 5);
  t.deepEqual(chooseWitnesses('e', listed), chooseWitnesses('e', [...listed].reverse()));
});
