/** What the nodes know of one another's paths to backends. */
import { Telemetry } from '@canvasridge/telemetry';
import { PoolLeadership } from '@canvasridge/slots';
import test from 'ava';
import { FleetPaths } from '../src/paths/fleet-paths.js';
import { VirtualClusters } from './virtual-clusters.js';

const SERVICE = 'llm';
const IDS = ['n1', 'n2', 'n3'];

interface Setup {
  readonly nodes: VirtualClusters;
  readonly paths: ReadonlyMap<string, FleetPaths>;
  /** By node: services that it can't reach. */
  readonly impaired: Map<string, string[]>;
  /** By node: services for which it was told that another node lost its path. */
  readonly hints: Map<string, string[]>;
}

async function newSetup(): Promise<Setup> {
  const nodes = new VirtualClusters(
    IDS.map((id) => ({ id, capacity: 1, processToken: id })),
    IDS,
    { oneWayMs: 1, lossShare: 0, seed: 1 },
  );
  const impaired = new Map<string, string[]>();
  const hints = new Map<string, string[]>();
  const paths = new Map<string, FleetPaths>();
  for (const [id, cluster] of nodes.clusters) {
    hints.set(id, []);
    const fleetPaths = new FleetPaths({
      clock: nodes.clock,
      cluster,
      ownImpaired: () => impaired.get(id) ?? [],
      isOwnLoss: () => Promise.resolve(true),
      onPeerLost: (service) => hints.get(id)?.push(service),
      telemetry: new Telemetry({ processName: id, clock: nodes.clock }),
    });
    fleetPaths.start();
    paths.set(id, fleetPaths);
  }
  await nodes.clock.runUntil(3000);
  return { nodes, paths, impaired, hints };
}

function lose({ paths, impaired }: Setup, id: string): void {
  impaired.set(id, [SERVICE]);
  paths.get(id)?.ownPathChanged(SERVICE, 'lost');
}

test('all nodes learn of a lost path at once, and of its return only when it has stood for a while', async (t) => {
  const setup = await newSetup();
  const { nodes, paths, impaired, hints } = setup;
  const impairedAccordingTo = (): boolean[] => IDS.map((id) => paths.get(id)?.isImpaired('n1') === true);
  lose(setup, 'n1');
  await nodes.clock.runUntil(4000);
  t.deepEqual(impairedAccordingTo(), [true, true, true]);
  t.deepEqual([...hints.values()], [[], [SERVICE], [SERVICE]]);
  impaired.set('n1', []);
  paths.get('n1')?.ownPathChanged(SERVICE, 'working');
  await nodes.clock.runUntil(5500);
  t.deepEqual(impairedAccordingTo(), [true, true, true]);
  await nodes.clock.runUntil(7500);
  t.deepEqual(impairedAccordingTo(), [false, false, false]);
  for (const each of paths.values()) each.stop();
});

test('a service that all nodes miss distinguishes none of them', async (t) => {
  const setup = await newSetup();
  const { nodes, paths } = setup;
  for (const id of IDS) lose(setup, id);
  await nodes.clock.runUntil(4000);
  t.deepEqual(
    IDS.map((id) => paths.get('n1')?.isImpaired(id)),
    [false, false, false],
  );
  t.deepEqual(paths.get('n1')?.reaching(SERVICE, IDS), IDS);
  t.false(paths.get('n1')?.isReachedByAnyBut('n1', SERVICE));
  for (const each of paths.values()) each.stop();
});

// A cut-off node that had resigned could claim the pool again as the first candidate, back and forth.
test('a node without a path does not claim the pool that it has handed over', async (t) => {
  const setup = await newSetup();
  const { nodes, paths } = setup;
  const telemetry = new Telemetry({ processName: 'test', clock: nodes.clock });
  const leaderships = [...nodes.clusters].map(([id, cluster]) => {
    const candidates = (): readonly string[] =>
      paths.get(id)?.reaching(SERVICE, cluster.candidates(SERVICE)) ?? [];
    const peers = {
      selfId: id,
      candidates,
      claims: (pool: string) => cluster.claims(pool),
      publishClaim: (pool: string, epoch: number | undefined) => cluster.publishClaim(pool, epoch),
      askForMissedRecords: () => cluster.askForMissedRecords(),
      seesMost: () => cluster.seesMost(),
    };
    return new PoolLeadership(SERVICE, peers, nodes.clock, telemetry);
  });
  const runUntil = async (untilMs: number): Promise<void> => {
    for (let ms = nodes.clock.now(); ms <= untilMs; ms += 100) {
      await nodes.clock.runUntil(ms);
      for (const cluster of nodes.clusters.values()) cluster.update();
      for (const leadership of leaderships) leadership.update();
    }
  };
  await runUntil(6000);
  const first = leaderships.find(({ isLeader }) => isLeader);
  t.not(first, undefined);
  lose(setup, first?.leader ?? '');
  first?.resign();
  await runUntil(14_000);
  const next = leaderships.filter(({ isLeader }) => isLeader);
  t.is(next.length, 1);
  t.not(next[0], first);
  for (const each of paths.values()) each.stop();
});
