import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { buildPublication, type RevisionHead } from '@canvasridge/configuration';
import { configurationSchema, type Configuration, type NodeStatus } from '@canvasridge/domain';
import type { FaultChange, StandinRecords } from '@canvasridge/standin';
import { request } from 'undici';
import type { z } from 'zod';
import { stopAll, launch, type LaunchedProcess } from './launcher.js';

/** Plan of a small deployment of real processes on the loopback interface. */
export interface DeploymentPlan {
  readonly nodes: readonly { readonly id: string; readonly zone: string }[];
  readonly engines: readonly {
    readonly id: string;
    readonly zone: string;
    readonly base: string;
    readonly slots: number;
    readonly maxBatch: number;
    readonly checksFence: boolean;
  }[];
  readonly services: readonly {
    readonly name: string;
    readonly zone: string;
    readonly notRepeatable: readonly { readonly method: 'POST'; readonly path: string }[];
  }[];
  readonly adapters: Configuration['adapters'];
  readonly bases: readonly string[];
  readonly callers: z.input<typeof configurationSchema>['callers'];
  readonly tuning: z.input<typeof configurationSchema>['tuning'];
  readonly weightStore: {
    readonly loadsPerSecond: number;
    readonly concurrency: number;
    readonly loadMs: number;
  };
  readonly machineListLagMs: number;
  /** How long a stopping node still accepts requests. */
  readonly lingerSeconds: number;
  /** Runs each engine in its own process, where a single process would be the bottleneck of a measurement. */
  readonly separateEngineProcesses?: boolean;
  readonly engineBehaviour?: Readonly<Record<string, number>>;
}

const LOOPBACK = '127.0.0.1:0';
const PEER_KEY = 'loopback-peer-key-0001';
export const ADMIN_KEY = 'loopback-admin-key-0001';
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;

/** SHA-256 digest under which a configuration lists a caller's key. */
export function keyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** A running deployment, with methods to control and inspect it. */
export class Deployment {
  readonly plan: DeploymentPlan;
  readonly nodes = new Map<string, LaunchedProcess>();
  /** Folder of the settings and logs of all processes. */
  readonly directory: string;
  #standin: LaunchedProcess | undefined;
  readonly #engineProcesses: LaunchedProcess[] = [];
  #head: RevisionHead | undefined;

  private constructor(plan: DeploymentPlan, directory: string) {
    this.plan = plan;
    this.directory = directory;
  }

  static async start(plan: DeploymentPlan, progress: (text: string) => void): Promise<Deployment> {
    const deployment = new Deployment(plan, await mkdtemp(join(tmpdir(), 'canvasridge-')));
    progress(
      `starting the emulator: ${plan.engines.length} engines, ${plan.services.length} service back ends`,
    );
    deployment.#standin = await deployment.#launchStandin(
      'standin',
      plan.separateEngineProcesses === true ? [] : plan.engines,
    );
    if (plan.separateEngineProcesses === true) await deployment.#launchEngineProcesses();
    await deployment.publish(deployment.configuration());
    progress(`published revision 1: ${plan.adapters.length} adapters, ${plan.callers.length} callers`);
    await Promise.all(plan.nodes.map((node) => deployment.startNode(node.id, node.zone)));
    progress(`started ${plan.nodes.length} nodes; waiting until every engine has an owner`);
    await deployment.#waitForOwners();
    return deployment;
  }

  get platformUrl(): string {
    const url = this.#standin?.ready.platformUrl;
    return typeof url === 'string' ? url : '';
  }

  /** URLs for callers of all nodes that were started. */
  callerUrls(): string[] {
    return [...this.nodes.values()].map((node) => String(node.ready.callersUrl));
  }

  engineUrls(): string[] {
    return Object.values(this.#engineUrlsById());
  }

  async startNode(id: string, zone: string): Promise<void> {
    const settings = {
      node: { id, zone },
      listen: { callers: LOOPBACK, peers: LOOPBACK, gossip: LOOPBACK },
      platform: { configurationUrl: this.platformUrl, machineListUrl: this.platformUrl },
      peerKey: PEER_KEY,
      adminKey: ADMIN_KEY,
      drain: { lingerSeconds: this.plan.lingerSeconds, limitSeconds: 60 },
    };
    const launched = await this.#launch('node', id, settings);
    this.nodes.set(id, launched);
    const machine = { id, role: 'entry', state: 'live', gossip: String(launched.ready.gossip) } as const;
    await this.fault({ machineListLagMs: 0 });
    await this.fault({ machine });
    await this.fault({ machineListLagMs: this.plan.machineListLagMs });
  }

  /** Changes faults and lags of the emulator. */
  async fault(fault: FaultChange): Promise<void> {
    await this.#post(`${this.platformUrl}/operator/faults`, fault);
  }

  /** Publishes a configuration as the next revision, as an operator does. */
  async publish(configuration: Configuration): Promise<void> {
    const previous = this.#head ?? { revision: 0, digest: '0'.repeat(64) };
    const { head, documents } = buildPublication(configuration, previous, this.#head?.serviceVersion ?? 0);
    for (const document of documents) await this.#post(`${this.platformUrl}/operator/publish`, document);
    this.#head = head;
  }

  configuration(): Configuration {
    const { plan } = this;
    const engineUrls = this.#engineUrlsById();
    const serviceUrls = (this.#standin?.ready.serviceUrls ?? []) as { name: string; url: string }[];
    const names = [...new Set(plan.services.map((service) => service.name))];
    return configurationSchema.parse({
      bases: plan.bases.map((name) => ({ name })),
      adapters: plan.adapters,
      engines: plan.engines.map((engine) => ({
        ...engine,
        machine: `m-${engine.id}`,
        url: engineUrls[engine.id],
      })),
      services: names.map((name) => ({
        name,
        notRepeatable: plan.services.find((service) => service.name === name)?.notRepeatable,
        backEnds: plan.services.flatMap((service, index) =>
          service.name === name
            ? [{ url: serviceUrls[index]?.url ?? '', zone: service.zone, machine: `m-${name}-${index}` }]
            : [],
        ),
      })),
      callers: plan.callers,
      tuning: plan.tuning,
    });
  }

  async records(): Promise<StandinRecords> {
    return (await this.#get(`${this.platformUrl}/records`)) as StandinRecords;
  }

  /** Status of a node; undefined if it was not started or does not respond. */
  async status(id: string): Promise<NodeStatus | undefined> {
    const node = this.nodes.get(id);
    if (node === undefined) return undefined;
    try {
      return (await this.#get(`${String(node.ready.peersUrl)}/admin/status`)) as NodeStatus;
    } catch {
      return undefined;
    }
  }

  /** Timelines of the emulator and of all nodes that respond. */
  async timelines(): Promise<unknown[]> {
    const urls = [
      `${this.platformUrl}/timeline`,
      ...[...this.nodes.values()].map((node) => `${String(node.ready.peersUrl)}/admin/timeline`),
    ];
    const dumps = await Promise.all(urls.map((url) => this.#get(url).catch(() => undefined)));
    return dumps.filter((dump) => dump !== undefined);
  }

  async stop(): Promise<void> {
    const standins = this.#standin === undefined ? [] : [this.#standin];
    await stopAll([...this.nodes.values(), ...standins, ...this.#engineProcesses]);
    await rm(this.directory, { recursive: true, force: true });
  }

  #engineUrlsById(): Record<string, string> {
    const urls: Record<string, string> = {};
    for (const launched of [this.#standin, ...this.#engineProcesses]) {
      Object.assign(urls, launched?.ready.engineUrls ?? {});
    }
    return urls;
  }

  async #launchEngineProcesses(): Promise<void> {
    for (const engine of this.plan.engines) {
      this.#engineProcesses.push(await this.#launchStandin(engine.id, [engine]));
    }
  }

  async #launchStandin(name: string, engines: DeploymentPlan['engines']): Promise<LaunchedProcess> {
    const { plan } = this;
    return this.#launch('standin', name, {
      listen: LOOPBACK,
      engines: engines.map(({ id, base, slots, maxBatch, checksFence }) => ({
        id,
        base,
        slots,
        maxBatch,
        checksFence,
        listen: LOOPBACK,
        behaviour: plan.engineBehaviour ?? {},
      })),
      services: plan.services.map(({ name }) => ({ name, listen: LOOPBACK })),
      weightStore: plan.weightStore,
      machines: { lagMs: plan.machineListLagMs, list: [] },
    });
  }

  async #launch(binary: 'node' | 'standin', name: string, settings: unknown): Promise<LaunchedProcess> {
    const file = join(this.directory, `${name}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
    return launch(binary, name, file, join(this.directory, `${name}.log`));
  }

  async #waitForOwners(): Promise<void> {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < deadlineMs) {
      const statuses = await Promise.all(this.plan.nodes.map((node) => this.status(node.id)));
      const ownedEngines = new Set(
        statuses.flatMap((status) => (status?.engines ?? []).map((engine) => engine.engineId)),
      );
      const allNodesReady = statuses.every(
        (status) => status?.state === 'ready' && status.members.length === this.plan.nodes.length,
      );
      if (ownedEngines.size === this.plan.engines.length && allNodesReady) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    throw new Error('not every engine found an owner; see the logs of the nodes');
  }

  async #get(url: string): Promise<unknown> {
    const response = await request(url, { headers: { authorization: `Bearer ${ADMIN_KEY}` } });
    return response.body.json();
  }

  async #post(url: string, body: unknown): Promise<void> {
    const response = await request(url, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) throw new Error(`${url}: ${response.statusCode} ${text}`);
  }
}
