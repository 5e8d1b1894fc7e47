import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import { FleetState } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { ReportedRuns } from '../src/streams/reported-runs.js';
import { ServiceVersions } from '../src/streams/service-versions.js';
import { BEGAN_METHOD } from '../src/streams/stream-version-protocol.js';
import { StreamVersions } from '../src/streams/stream-versions.js';
import { addressOf, idAt } from './peer-addresses.js';

const SERVICE = 'llm';
const LIFE_MS = 20_000;
const ONE_WAY_MS = 2;
const STREAM = { service: SERVICE, attemptId: 'first', lifeMs: LIFE_MS };

interface VirtualNode {
  readonly id: string;
  token: string;
  streams: StreamVersions;
  fleet: FleetState;
  reportedRuns: ReportedRuns;
  listAgeMs: number;
  isRunning: boolean;
  /** Whether its build knows software versions. */
  isCurrentBuild: boolean;
}

/** Nodes that remember streams, on one network in virtual time. */
class VirtualFleet {
  readonly clock = new VirtualClock();
  readonly nodes = new Map<string, VirtualNode>();
  /** Calls between nodes, by method. */
  readonly calls = new Map<string, number>();
  #members: { readonly id: string }[] = [];
  #revision = 0;
  readonly #versions = new Map<string, string>();

  constructor(count: number) {
    for (let index = 0; index < count; index += 1) this.#start(`n${index}`);
  }

  node(id: string): VirtualNode {
    const node = this.nodes.get(id);
    if (node === undefined) throw new Error(`no node ${id}`);
    return node;
  }

  /** Lists a backend of this version; all nodes that run learn of it. */
  list(backendId: string, softwareVersion: string): void {
    this.#versions.set(backendId, softwareVersion);
    this.#revision += 1;
    for (const { fleet } of this.nodes.values()) this.#apply(fleet);
  }

  /** A node reads the report of a backend, which runs these attempts. */
  report(nodeId: string, backendId: string, ...attemptIds: string[]): void {
    const { fleet, reportedRuns } = this.node(nodeId);
    const backend = fleet.backend(backendId);
    if (backend !== undefined) reportedRuns.record(backend, attemptIds);
  }

  unlist(backendId: string): void {
    this.#versions.delete(backendId);
    this.#revision += 1;
    for (const { fleet } of this.nodes.values()) fleet.removeBackend(this.#revision, backendId);
  }

  /** Restarts nodes at one moment: they have lost their memory. */
  restart(...ids: string[]): void {
    for (const id of ids) this.#start(id);
  }

  /** The same, and their lists are not read yet. */
  restartWithoutList(...ids: string[]): void {
    for (const id of ids) this.#start(id, false);
  }

  readList(id: string): void {
    this.#apply(this.node(id).fleet);
  }

  async run(durationMs: number): Promise<void> {
    const untilMs = this.clock.now() + durationMs;
    while (this.clock.now() < untilMs) {
      for (const { streams } of this.nodes.values()) streams.update();
      await this.clock.runUntil(Math.min(this.clock.now() + 1000, untilMs));
    }
  }

  /** What a node finds of the stream, while time goes on. */
  async find(id: string, query = STREAM): ReturnType<StreamVersions['find']> {
    const found = this.node(id).streams.find(query);
    await this.clock.runUntil(this.clock.now() + 400);
    return found;
  }

  #start(id: string, hasReadList = true): void {
    const fleet = new FleetState();
    const reportedRuns = new ReportedRuns(this.clock);
    const node: VirtualNode = {
      id,
      reportedRuns,
      token: `${id}-${this.clock.now()}`,
      fleet,
      listAgeMs: 0,
      isRunning: true,
      isCurrentBuild: true,
      streams: new StreamVersions({
        clock: this.clock,
        cluster: {
          selfId: id,
          serving: () => this.#members as never,
          peerAddress: addressOf,
          processOf: (peer) => ({ token: this.node(peer).token, state: 'alive' }),
        },
        network: { to: (peer) => ({ call: (method, params) => this.#call(idAt(peer), method, params) }) },
        versions: new ServiceVersions({ clock: this.clock, fleet, listAgeMs: () => node.listAgeMs }),
        reportedRuns,
        telemetry: new Telemetry({ processName: id, clock: this.clock }),
      }),
    };
    this.nodes.set(id, node);
    this.#members = [...this.nodes.keys()].map((member) => ({ id: member }));
    if (hasReadList) this.#apply(fleet);
  }

  #apply(fleet: FleetState): void {
    const entries = [...this.#versions].map(([id, softwareVersion]) => ({
      revision: this.#revision,
      value: {
        ...{
          id,
          service: SERVICE,
          address: socketAddress('10.0.0.1:1'),
          zone: 'a',
          state: 'ready' as const,
          slots: 1,
        },
        ...{ models: [], softwareVersion },
      },
    }));
    fleet.replaceBackends(this.#revision, entries);
  }

  async #call(peer: string, method: string, params: unknown): Promise<unknown> {
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
    await this.clock.sleep(ONE_WAY_MS);
    const { streams, isRunning, isCurrentBuild } = this.node(peer);
    if (!isRunning || !isCurrentBuild) return undefined;
    const answer = method === BEGAN_METHOD ? streams.answerBegan(params) : streams.answerFind(params);
    await this.clock.sleep(ONE_WAY_MS);
    return JSON.parse(JSON.stringify(answer));
  }
}

/** A fleet that has followed its list for longer than any stream lives. */
async function settledFleet(nodes: number, versions: readonly string[]): Promise<VirtualFleet> {
  const fleet = new VirtualFleet(nodes);
  for (const [index, version] of versions.entries()) fleet.list(`b${index}`, version);
  await fleet.run(LIFE_MS + 1000);
  return fleet;
}

test('while a service has two versions, any node knows which one began a stream, also when two have failed', async (t) => {
  const fleet = await settledFleet(9, ['v1', 'v2']);
  fleet.node('n0').streams.began({ ...STREAM, version: 'v1' });
  t.deepEqual(await fleet.find('n0'), { version: 'v1', from: 'memory' });
  fleet.restart('n0', 'n1');
  for (const id of fleet.nodes.keys()) t.is((await fleet.find(id))?.version, 'v1', id);
});

test('a stream whose version no node remembers is not guessed, though one version is listed by now', async (t) => {
  const fleet = await settledFleet(5, ['v1', 'v2']);
  fleet.node('n0').streams.began({ ...STREAM, version: 'v1' });
  await fleet.run(1000);
  fleet.restart(...fleet.nodes.keys());
  fleet.unlist('b0');
  await fleet.run(1000);
  t.is(await fleet.find('n1'), undefined);
  await fleet.run(LIFE_MS);
  t.deepEqual(await fleet.find('n1'), { version: 'v2', from: 'only' });
});

test('a service with one version needs no memory, and no messages until a stream is resumed', async (t) => {
  const fleet = await settledFleet(5, ['v1', 'v1']);
  fleet.node('n0').streams.began({ ...STREAM, version: 'v1' });
  await fleet.run(3000);
  t.is(fleet.calls.size, 0);
  t.deepEqual(await fleet.find('n1'), { version: 'v1', from: 'peer' });
  fleet.restart('n0');
  t.deepEqual(await fleet.find('n1'), { version: 'v1', from: 'only' });
  fleet.restart('n2');
  t.deepEqual(await fleet.find('n2'), { version: 'v1', from: 'only' });
});

test('homes are told of streams that began before a second version was listed', async (t) => {
  const fleet = await settledFleet(5, ['v1']);
  fleet.node('n0').streams.began({ ...STREAM, version: 'v1' });
  await fleet.run(1000);
  fleet.list('b1', 'v2');
  await fleet.run(2000);
  fleet.restart('n0');
  for (const id of fleet.nodes.keys()) t.is((await fleet.find(id))?.version, 'v1', id);
});

test('a node that has listed several versions outweighs those that have listed one', async (t) => {
  const fleet = await settledFleet(5, ['v1']);
  fleet.node('n3').fleet.applyBackend(1000, {
    ...{
      id: 'b9',
      service: SERVICE,
      address: socketAddress('10.0.0.1:1'),
      zone: 'a',
      state: 'ready',
      slots: 1,
      models: [],
    },
    softwareVersion: 'v2',
  });
  t.is(await fleet.find('n1'), undefined);
});

test('a list that is too old says nothing of the versions of a service', async (t) => {
  const fleet = await settledFleet(1, ['v1']);
  t.deepEqual(await fleet.find('n0'), { version: 'v1', from: 'only' });
  fleet.node('n0').listAgeMs = 5000;
  t.is(await fleet.find('n0'), undefined);
});

test('a node that stops hands over the streams that it knows of', async (t) => {
  const fleet = await settledFleet(9, ['v1', 'v2']);
  fleet.node('n0').streams.began({ ...STREAM, version: 'v2' });
  await fleet.run(1000);
  const knowing = [...fleet.nodes.values()].filter(({ streams }) => streams.size > 0).map(({ id }) => id);
  t.is(knowing.length, 4);
  const [last, ...others] = knowing;
  fleet.restart(...others);
  fleet.node(last ?? '').streams.handOver();
  await fleet.run(1000);
  fleet.restart(last ?? '');
  t.is((await fleet.find('n8'))?.version, 'v2');
});

test('nodes of a build that knows no versions are passed over', async (t) => {
  const fleet = await settledFleet(5, ['v1', 'v2']);
  for (const id of ['n1', 'n2', 'n3']) fleet.node(id).isCurrentBuild = false;
  fleet.node('n0').streams.began({ ...STREAM, version: 'v1' });
  await fleet.run(1000);
  t.is((await fleet.find('n4'))?.version, 'v1');
});

test('a stream is forgotten when it can be resumed no more, and names of any length are borne', async (t) => {
  const fleet = await settledFleet(3, ['v1', 'v2']);
  const { streams } = fleet.node('n0');
  streams.began({ ...STREAM, version: 'v1' });
  streams.began({ ...STREAM, attemptId: 'x'.repeat(1000), version: 'v1' });
  await fleet.run(1000);
  t.is((await fleet.find('n1'))?.version, 'v1');
  await fleet.run(LIFE_MS);
  t.is(streams.size, 0);
  t.is(await fleet.find('n1'), undefined);
});

test('streams of backends that tell no version are continued by any, without a message', async (t) => {
  const fleet = await settledFleet(5, ['', '']);
  fleet.node('n0').streams.began({ ...STREAM, version: '' });
  await fleet.run(1000);
  t.deepEqual(await fleet.find('n1'), { version: '', from: 'only' });
  t.is(fleet.calls.size, 0);
});

// Guards against streams of a version that has just left, joined at backends that tell none.
test('after a loss of all nodes, a list of backends that tell no version is no proof that none of them did', async (t) => {
  const fleet = await settledFleet(5, ['v1', '']);
  fleet.node('n0').streams.began({ ...STREAM, version: 'v1' });
  await fleet.run(1000);
  fleet.unlist('b0');
  fleet.restart(...fleet.nodes.keys());
  await fleet.run(1000);
  t.is(await fleet.find('n1'), undefined);
  await fleet.run(LIFE_MS);
  t.deepEqual(await fleet.find('n1'), { version: '', from: 'only' });
});

for (const versions of [
  ['v1', ''],
  ['v1', 'v2'],
])
  // Guards against a list that is not known yet, taken for one whose backends tell no version.
  test(`a node that has just started joins no stream before it knows its list, of versions ${versions.join('/')}`, async (t) => {
    const fleet = await settledFleet(5, versions);
    fleet.node('n0').streams.began({ ...STREAM, version: 'v1' });
    await fleet.run(1000);
    fleet.restartWithoutList(...fleet.nodes.keys());
    t.is(await fleet.find('n1'), undefined, 'the list is not known');
    fleet.node('n1').streams.update();
    fleet.readList('n1');
    t.is(await fleet.find('n1'), undefined, 'the list was read a moment ago');
  });

test('a node that was suspended does not know what was listed meanwhile', async (t) => {
  const fleet = await settledFleet(1, ['v1']);
  await fleet.clock.runUntil(fleet.clock.now() + 5000);
  t.is(await fleet.find('n0'), undefined);
});

// Guards against refusing every stream after a loss of all nodes, though engines still tell that they run it.
test('after a loss of all nodes, a stream that an engine reports to run goes on at its version, at any node', async (t) => {
  const fleet = await settledFleet(5, ['v1', 'v2']);
  fleet.node('n0').streams.began({ ...STREAM, version: 'v2' });
  await fleet.run(1000);
  fleet.restart(...fleet.nodes.keys());
  fleet.report('n2', 'b1', 'first', 'other');
  t.deepEqual(await fleet.find('n2'), { version: 'v2', from: 'report' });
  t.deepEqual(await fleet.find('n1'), { version: 'v2', from: 'report' });
  t.is(await fleet.find('n1', { ...STREAM, attemptId: 'unreported' }), undefined);
  await fleet.run(LIFE_MS + 100);
  fleet.list('b2', 'v3');
  t.is(await fleet.find('n1'), undefined, 'the report is too old');
});

test('an attempt that engines of two versions report to run proves nothing', async (t) => {
  const fleet = await settledFleet(3, ['v1', 'v2']);
  fleet.restart(...fleet.nodes.keys());
  fleet.report('n0', 'b0', 'first');
  fleet.report('n0', 'b1', 'first');
  fleet.report('n0', 'b0', 'first');
  t.is(await fleet.find('n0'), undefined);
  t.is(await fleet.find('n1'), undefined);
});

test('reports of two versions at two nodes prove nothing', async (t) => {
  const fleet = await settledFleet(3, ['v1', 'v2']);
  fleet.restart(...fleet.nodes.keys());
  fleet.report('n0', 'b0', 'first');
  fleet.report('n1', 'b1', 'first');
  for (const id of fleet.nodes.keys()) t.is(await fleet.find(id), undefined, id);
});

test('an attempt that only one engine reports is known however often it is read, within bounded memory', (t) => {
  const clock = new VirtualClock();
  const runs = new ReportedRuns(clock);
  const backend = {
    ...{
      id: 'b',
      service: SERVICE,
      address: socketAddress('10.0.0.1:1'),
      zone: 'a',
      state: 'ready' as const,
      slots: 1,
      models: [],
    },
    softwareVersion: 'v1',
  };
  const ids = Array.from({ length: 5000 }, (_, index) => `a${index}`);
  runs.record(backend, ids);
  runs.record(backend, ['a4999']);
  t.is(runs.find(SERVICE, 'a4999', LIFE_MS), 'v1');
  t.is(runs.find('other', 'a4999', LIFE_MS), undefined);
  t.is(runs.find(SERVICE, 'a0', LIFE_MS), undefined, 'forgotten');
});
