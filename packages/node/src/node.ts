import { CallerLimits, RequestKeys, RetryBudget } from '@canvasridge/admission';
import type { Clock, Random } from '@canvasridge/clock';
import { ConfigurationFollower, headSchema, type RevisionStore } from '@canvasridge/configuration';
import type {
  ConfigurationIndex,
  ConfigurationSource,
  EngineClient,
  EngineDefinition,
  MachineList,
  ServiceClient,
} from '@canvasridge/domain';
import {
  Membership,
  PeerRpcServer,
  type DatagramTransport,
  type Member,
  type MemberIdentity,
  type MembershipTiming,
  type PeerCaller,
} from '@canvasridge/membership';
import { OwnershipManager, DEFAULT_OWNERSHIP_TIMING, type OwnershipTiming } from '@canvasridge/ownership';
import { rankByRendezvous } from '@canvasridge/placement';
import type { ForwardClient } from '@canvasridge/http-bindings';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import * as z from 'zod';
import { AdminService } from './control/admin-service.js';
import { EngineFleet } from './control/engine-fleet.js';
import { MachineWatch } from './control/machine-watch.js';
import { Directory } from './requests/directory.js';
import { ForwardHandler } from './requests/forward-handler.js';
import { GenerationRouter } from './requests/generation-router.js';
import { KeyProtocol } from './requests/key-protocol.js';
import { RequestService } from './requests/request-service.js';
import { ServiceRouter } from './requests/service-router.js';
import { StreamTokens } from './requests/stream-tokens.js';
import { registerPeerMethods } from './peer-methods.js';
import { LoadGrants } from './scheduling/load-grants.js';

/**
 * Interfaces of a node to the outside: bound to sockets in production, to a simulated network in experiments.
 */
export interface NodePorts {
  readonly transport: DatagramTransport;
  readonly peers: PeerCaller;
  readonly forward: ForwardClient;
  readonly configuration: ConfigurationSource;
  readonly machines: MachineList;
  readonly services: ServiceClient;
  readonly newEngineClient: (engine: EngineDefinition) => EngineClient;
}

export interface NodeOptions {
  readonly identity: MemberIdentity;
  readonly seeds: readonly string[];
  readonly peerKey: string;
  readonly ports: NodePorts;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly ownershipTiming?: OwnershipTiming;
  readonly membershipTiming?: MembershipTiming;
  readonly revisionStore?: RevisionStore;
}

/**
 * `starting` until a configuration is in force, then `ready`; `draining` while the node is leaving but still
 * accepts requests; `closed` when it refuses new ones.
 */
export type NodeState = 'starting' | 'ready' | 'draining' | 'closed';

/** Number of nodes per zone that watch the configuration service; the others follow these. */
const WATCHERS_PER_ZONE = 2;
const PEER_CALL_TIMEOUT_MS = 3000;
const DRAIN_CHECK_MS = 100;

const headAnswer = z.strictObject({ head: headSchema.nullable(), sourceVersion: z.number() });
const chunkAnswer = z.strictObject({ text: z.string().nullable() });

/** An entry node: wires membership, configuration, engine ownership and request handling together. */
export class EntryNode {
  readonly rpc = new PeerRpcServer();
  readonly membership: Membership;
  readonly follower: ConfigurationFollower;
  readonly fleet: EngineFleet;
  readonly ownership: OwnershipManager;
  readonly requests: RequestService;
  readonly forwardHandler: ForwardHandler;
  readonly directory: Directory;
  readonly admin: AdminService;
  readonly #options: NodeOptions;
  readonly #machines: MachineWatch;
  readonly #grants: LoadGrants;
  readonly #keys: KeyProtocol;
  #state: NodeState = 'starting';
  #requestCount = 0;

  constructor(options: NodeOptions) {
    this.#options = options;
    const { clock, random, telemetry, ports } = options;
    this.#machines = this.#newMachineWatch();
    this.membership = this.#newMembership();
    this.follower = this.#newFollower();
    this.#grants = this.#newGrants();
    this.fleet = this.#newFleet();
    this.ownership = this.#newOwnership();
    this.fleet.setOwnershipManager(this.ownership);
    const self = (): Member => this.membership.self();
    const member = (id: string): Member | undefined => this.membership.get(id);
    const present = (): readonly Member[] => this.membership.present();
    const keys = new RequestKeys(clock);
    this.#keys = new KeyProtocol({
      self,
      member,
      caller: ports.peers,
      keys,
      delegated: new RequestKeys(clock),
    });
    const streams = new StreamTokens(options.peerKey);
    const budget = new RetryBudget();
    const common = { budget, clock, random, telemetry };
    this.requests = new RequestService({
      index: () => this.follower.store.index,
      // Share 1: each node enforces the whole limit of a caller.
      limits: new CallerLimits(clock, () => 1),
      generations: new GenerationRouter({
        ...common,
        fleet: this.fleet,
        forward: ports.forward,
        streams,
        newEngineRequestId: (requestId) => this.#newEngineRequestId(requestId),
      }),
      services: new ServiceRouter({
        ...common,
        client: ports.services,
        zone: options.identity.zone,
        isLeaving: (machine) => this.#isLeaving(machine),
      }),
      keys: this.#keys,
      streams,
      clientOf: (engine) => this.fleet.clientOf(engine),
      clock,
      telemetry,
      newRequestId: () => this.#newRequestId(),
    });
    this.forwardHandler = new ForwardHandler({
      fleet: this.fleet,
      index: () => this.follower.store.index,
      clock,
    });
    this.directory = new Directory({
      requests: this.requests,
      fleet: this.fleet,
      keys: this.#keys,
      self,
      present,
    });
    this.admin = new AdminService({
      self,
      present,
      follower: this.follower,
      fleet: this.fleet,
      telemetry,
      state: () => this.#state,
      activeRequests: () => this.requests.active + this.forwardHandler.active,
      completedRequests: () => this.requests.completed,
      drain: () => this.drain(),
    });
    registerPeerMethods(this.rpc, {
      ownership: this.ownership,
      follower: this.follower,
      grants: this.#grants,
      keys: this.#keys,
    });
  }

  get state(): NodeState {
    return this.#state;
  }

  /** Maximum size of request bodies, in bytes. */
  get bodyLimit(): number {
    const fallback = 1_048_576;
    return this.follower.store.index?.tuning.maxBodyBytes ?? fallback;
  }

  start(): void {
    this.#machines.start();
    this.membership.start();
    this.follower.start();
  }

  /**
   * Announces that the node is leaving, so that the directory lists other nodes and engines get other owners.
   */
  drain(): void {
    if (this.#state === 'draining' || this.#state === 'closed') return;
    this.#state = 'draining';
    this.#options.telemetry.event('info', 'node.draining', this.membership.identity.id);
    this.membership.drain();
    this.ownership.reconcile();
  }

  /**
   * Stops gracefully. New requests are accepted for another `lingerMs`, because callers may still use an
   * older directory response. After that the node stops when the last request has ended, or after `limitMs`.
   */
  async stop(lingerMs: number, limitMs: number): Promise<void> {
    const { clock } = this.#options;
    const startedAtMs = clock.now();
    this.drain();
    await clock.sleep(lingerMs);
    this.#state = 'closed';
    while (!this.#isIdle() && clock.now() - startedAtMs < limitMs) await clock.sleep(DRAIN_CHECK_MS);
    this.ownership.stop();
    this.membership.leave();
    // Leaves time to send the announcement before `kill` closes the transport.
    await clock.sleep(DRAIN_CHECK_MS);
    this.kill();
  }

  /** Stops all tasks immediately, without announcing it to other nodes. */
  kill(): void {
    this.#state = 'closed';
    this.follower.stop();
    this.#machines.stop();
    this.membership.stop();
    this.ownership.stop();
  }

  #isIdle(): boolean {
    return this.requests.active === 0 && this.forwardHandler.active === 0;
  }

  // --- components ------------------------------------------------------------------------------------

  #newMachineWatch(): MachineWatch {
    const { ports, clock, random, telemetry } = this.#options;
    const onChange = (): void => {
      this.fleet.machinesChanged();
      this.ownership.reconcileSoon();
    };
    return new MachineWatch({ list: ports.machines, clock, random, telemetry, onChange });
  }

  #newMembership(): Membership {
    const { identity, ports, clock, random, telemetry, seeds, membershipTiming } = this.#options;
    return new Membership({
      identity,
      transport: ports.transport,
      clock,
      random,
      telemetry,
      seeds: () => [...seeds, ...this.#machines.seeds()],
      revision: () => this.follower.store.stamp,
      ...(membershipTiming === undefined ? {} : { timing: membershipTiming }),
      events: {
        onMember: (member) => this.#memberChanged(member),
        onRevision: (member, stamp) =>
          runInBackground(telemetry, 'peer-configuration', () =>
            this.follower.handlePeerStamp(member.id, stamp),
          ),
        onRecord: (record) => this.fleet.remoteEngines.update(record),
      },
    });
  }

  #memberChanged(member: Member): void {
    if (member.state === 'dead' || member.state === 'left')
      this.fleet.remoteEngines.removeRecordsOf(member.id);
    else for (const record of this.membership.recordsOf(member.id)) this.fleet.remoteEngines.update(record);
    this.ownership.reconcileSoon();
    this.#options.telemetry.metrics.gauge('membership.alive', this.membership.present().length);
  }

  #newFollower(): ConfigurationFollower {
    const { ports, clock, random, telemetry } = this.#options;
    const peerUrl = (id: string): string | undefined => this.membership.get(id)?.peerUrl;
    return new ConfigurationFollower({
      source: ports.configuration,
      peers: {
        head: async (peerId) => {
          const url = peerUrl(peerId);
          if (url === undefined) return undefined;
          const answer = await ports.peers.call(
            url,
            'configuration.head',
            {},
            headAnswer,
            PEER_CALL_TIMEOUT_MS,
          );
          if (answer.isErr() || answer.value.head === null) return undefined;
          return { head: answer.value.head, sourceVersion: answer.value.sourceVersion };
        },
        chunk: async (peerId, sha256) => {
          const url = peerUrl(peerId);
          if (url === undefined) return undefined;
          const params = { sha256 };
          const answer = await ports.peers.call(
            url,
            'configuration.chunk',
            params,
            chunkAnswer,
            PEER_CALL_TIMEOUT_MS,
          );
          return answer.isOk() ? (answer.value.text ?? undefined) : undefined;
        },
      },
      clock,
      random,
      telemetry,
      store: this.#options.revisionStore,
      isWatcher: () => this.#isWatcher(),
      onRevision: (index) => this.#applyRevision(index),
    });
  }

  /**
   * Whether this node is among the members of its zone, by rendezvous score, that watch the configuration
   * service.
   */
  #isWatcher(): boolean {
    const { id, zone } = this.membership.identity;
    const sameZone = this.membership.present().filter((member) => member.zone === zone);
    const ranked = rankByRendezvous('configuration-watch', sameZone, (member) => member.id);
    return ranked.slice(0, WATCHERS_PER_ZONE).some((member) => member.id === id);
  }

  #applyRevision(index: ConfigurationIndex): void {
    if (this.#state === 'starting') this.#state = 'ready';
    this.fleet.applyConfiguration(index);
    this.membership.gossipNow();
  }

  #newGrants(): LoadGrants {
    const { clock, ports, telemetry } = this.#options;
    return new LoadGrants({
      clock,
      telemetry,
      caller: ports.peers,
      self: () => this.membership.self(),
      present: () => this.membership.present(),
      limits: () => {
        const tuning = this.follower.store.index?.tuning;
        return {
          loadsPerSecond: tuning?.weightStoreLoadsPerSecond ?? 1,
          concurrency: tuning?.weightStoreConcurrency ?? 1,
        };
      },
      reachableShare: () => this.#shareOfEngines((engine) => this.fleet.ownerOf(engine.id) !== undefined),
      ownShare: () => this.#shareOfEngines((engine) => this.fleet.schedulerOf(engine.id) !== undefined),
    });
  }

  #shareOfEngines(matches: (engine: EngineDefinition) => boolean): number {
    const engines = this.follower.store.index?.configuration.engines ?? [];
    return engines.length === 0 ? 1 : engines.filter(matches).length / engines.length;
  }

  #newFleet(): EngineFleet {
    const { clock, telemetry, ports, ownershipTiming } = this.#options;
    return new EngineFleet({
      clock,
      telemetry,
      timing: ownershipTiming ?? DEFAULT_OWNERSHIP_TIMING,
      self: () => this.membership.self(),
      member: (id) => this.membership.get(id),
      isLeaving: (machine) => this.#isLeaving(machine),
      newClient: ports.newEngineClient,
      acquireLoad: (request, signal) => this.#grants.acquire(request, signal),
      publish: (key, value) => this.membership.publish(key, value),
    });
  }

  #newOwnership(): OwnershipManager {
    const { clock, random, telemetry, ports, ownershipTiming } = this.#options;
    return new OwnershipManager({
      self: () => this.membership.self(),
      present: () => this.membership.present(),
      member: (id) => this.membership.get(id),
      listedNodes: () => this.#machines.entryNodes(),
      knownOwner: (engineId) => this.fleet.remoteEngines.ownerOf(engineId),
      caller: ports.peers,
      clientOf: (engine) => this.fleet.clientOf(engine),
      clock,
      random,
      telemetry,
      timing: ownershipTiming ?? DEFAULT_OWNERSHIP_TIMING,
      events: {
        onHeld: (ownership, state) => this.fleet.onHeld(ownership, state),
        onLost: (ownership) => this.fleet.onLost(ownership),
        wantsNewFence: (engineId) => this.fleet.wantsNewFence(engineId),
      },
    });
  }

  #isLeaving(machine: string | undefined): boolean {
    return this.#machines.isLeaving(machine) || this.follower.store.index?.isLeaving(machine) === true;
  }

  #newRequestId(): string {
    this.#requestCount += 1;
    return `${this.membership.identity.id}-${this.membership.identity.processToken}-${this.#requestCount}`;
  }

  /** Id of one attempt at a request, unique so that resuming a stream cannot hit another attempt. */
  #newEngineRequestId(requestId: string): string {
    this.#requestCount += 1;
    return `${requestId}.${this.membership.identity.processToken}${this.#requestCount}`;
  }
}
