import type { Random } from '@canvasridge/clock';
import { type Clock } from '@canvasridge/clock';
import type { EngineClient, EngineDefinition } from '@canvasridge/domain';
import type { Member, PeerCaller } from '@canvasridge/membership';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import * as z from 'zod';
import { assignOwners } from './desired-owner.js';
import { EngineOwnership, type TakeoverState } from './engine-ownership.js';
import type { OwnershipTiming } from './timing.js';
import { WitnessTable, chooseWitnesses } from './witness-table.js';

/** Callbacks for changes of the engines that this node owns. */
export interface OwnershipEvents {
  onHeld(ownership: EngineOwnership, state: TakeoverState): void;
  onLost(ownership: EngineOwnership, reason: string): void;
  /**
   * Whether any work of this node on the engine has ended with an unknown outcome since the last claim.
   */
  wantsNewFence(engineId: string): boolean;
}

export interface OwnershipManagerOptions {
  readonly self: () => Member;
  /** Members believed present, this node included. */
  readonly present: () => readonly Member[];
  readonly member: (id: string) => Member | undefined;
  /** Ids of all entry nodes that the platform lists, whether they are alive or not. */
  readonly listedNodes: () => readonly string[];
  /** Id of the node that publishes itself as the owner of the engine, if any. */
  readonly knownOwner: (engineId: string) => string | undefined;
  readonly caller: PeerCaller;
  readonly clientOf: (engine: EngineDefinition) => EngineClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly timing: OwnershipTiming;
  readonly events: OwnershipEvents;
}

/** Delay in which several changes are collected before the engines are assigned again. */
const RECONCILE_DELAY_MS = 100;
const RELEASE_TIMEOUT_MS = 1000;
const GRANT_TIMEOUT_MS = 700;

const booleanAnswer = z.strictObject({ done: z.boolean() });

/** Parameters of the RPC methods that peers call. */
export const releaseParams = z.strictObject({ engineId: z.string(), requester: z.string() });
export const grantParams = z.strictObject({
  engineId: z.string(),
  holder: z.string(),
  leaseMs: z.number().min(0).max(60_000),
});
export const ungrantParams = z.strictObject({ engineId: z.string(), holder: z.string() });

/** Runs an {@link EngineOwnership} for each engine that this node owns or should own. */
export class OwnershipManager {
  readonly #options: OwnershipManagerOptions;
  readonly #owned = new Map<string, EngineOwnership>();
  readonly #witnessTable: WitnessTable;
  readonly #holder: string;
  #engines: readonly EngineDefinition[] = [];
  #desired: ReadonlyMap<string, string> = new Map();
  #stopped = false;
  #reconcilePending = false;

  constructor(options: OwnershipManagerOptions) {
    this.#options = options;
    const self = options.self();
    this.#holder = `${self.id}~${self.processToken}`;
    this.#witnessTable = new WitnessTable(options.clock, options.timing.witnessLeaseMs);
  }

  get(engineId: string): EngineOwnership | undefined {
    return this.#owned.get(engineId);
  }

  /** The engines that this node owns now. */
  owned(): readonly EngineOwnership[] {
    return [...this.#owned.values()].filter((ownership) => ownership.held);
  }

  /** Id of the member that should own the engine, according to this node. */
  desiredOwnerOf(engineId: string): string | undefined {
    return this.#desired.get(engineId);
  }

  setEngines(engines: readonly EngineDefinition[]): void {
    this.#engines = engines;
    this.reconcile();
  }

  /** Reassigns the engines after a short delay, so that several changes are handled together. */
  reconcileSoon(): void {
    if (this.#reconcilePending || this.#stopped) return;
    this.#reconcilePending = true;
    this.#options.clock.setTimer(RECONCILE_DELAY_MS, () => {
      this.#reconcilePending = false;
      this.reconcile();
    });
  }

  /**
   * Reassigns the engines to the present members. Ends the tasks of engines that were removed or have a new
   * URL, wakes the other tasks, and starts one for each engine that this node should own and has no task for.
   */
  reconcile(): void {
    if (this.#stopped) return;
    this.#desired = assignOwners(this.#engines, this.#options.present());
    this.#dropRemoved();
    for (const engine of this.#engines) this.#ensureTask(engine);
  }

  /** Releases every engine and ends all tasks. */
  stop(): void {
    this.#stopped = true;
    for (const ownership of this.#owned.values()) ownership.stop();
  }

  /** Handles a request for release from a peer that should own the engine. */
  handleRelease(params: z.infer<typeof releaseParams>): z.infer<typeof booleanAnswer> {
    const ownership = this.#owned.get(params.engineId);
    if (ownership === undefined || !ownership.held) return { done: true };
    // Refuse if this node is the desired owner in its own view. Otherwise nodes with different views would
    // keep taking the engine from each other.
    if (this.#desired.get(params.engineId) === this.#options.self().id) return { done: false };
    ownership.release(`handed to ${params.requester}`);
    return { done: true };
  }

  /** Handles a peer's request for a lease, or for its renewal, from this node as a witness. */
  handleGrant(params: z.infer<typeof grantParams>): z.infer<typeof booleanAnswer> {
    return { done: this.#witnessTable.grant(params.engineId, params.holder, params.leaseMs) };
  }

  /** Handles a peer's release of a lease that this node granted as a witness. */
  handleUngrant(params: z.infer<typeof ungrantParams>): z.infer<typeof booleanAnswer> {
    this.#witnessTable.release(params.engineId, params.holder);
    return { done: true };
  }

  #dropRemoved(): void {
    const enginesById = new Map(this.#engines.map((engine) => [engine.id, engine]));
    for (const [id, ownership] of this.#owned) {
      const engine = enginesById.get(id);
      if (engine !== undefined && engine.url === ownership.engine.url) continue;
      ownership.stop();
      this.#owned.delete(id);
    }
  }

  #ensureTask(engine: EngineDefinition): void {
    const existing = this.#owned.get(engine.id);
    if (existing !== undefined) {
      existing.wake();
      return;
    }
    if (this.#desired.get(engine.id) !== this.#options.self().id) return;
    const ownership = this.#newOwnership(engine);
    this.#owned.set(engine.id, ownership);
    ownership.start();
  }

  #newOwnership(engine: EngineDefinition): EngineOwnership {
    const { events, clock, telemetry, timing, clientOf } = this.#options;
    const ownership: EngineOwnership = new EngineOwnership({
      engine,
      client: clientOf(engine),
      clock,
      random: this.#options.random,
      telemetry,
      timing,
      holder: this.#holder,
      isDesiredOwner: () => this.#desired.get(engine.id) === this.#options.self().id,
      requestRelease: (holder) => this.#requestRelease(engine.id, holder),
      requestReleaseFromOwner: () => this.#requestReleaseFromOwner(engine.id),
      witnesses: {
        acquire: (engineId, leaseMs) => this.#acquireFromWitnesses(engineId, leaseMs),
        release: (engineId) => this.#releaseWitnesses(engineId),
      },
      wantsNewFence: () => events.wantsNewFence(engine.id),
      onHeld: (state) => events.onHeld(ownership, state),
      onLost: (reason) => events.onLost(ownership, reason),
    });
    return ownership;
  }

  async #requestRelease(engineId: string, holder: string): Promise<boolean> {
    const [nodeId = '', processToken = ''] = holder.split('~');
    const self = this.#options.self();
    // An earlier process of this node is certainly gone, because the current process uses its address.
    if (nodeId === self.id) return true;
    const member = this.#options.member(nodeId);
    if (member === undefined || member.state === 'dead' || member.state === 'left') return false;
    if (member.processToken !== processToken) return true;
    const params = { engineId, requester: self.id };
    const answer = await this.#call(member, 'ownership.release', params, RELEASE_TIMEOUT_MS);
    return answer;
  }

  async #requestReleaseFromOwner(engineId: string): Promise<boolean> {
    const self = this.#options.self();
    const owner = this.#options.member(this.#options.knownOwner(engineId) ?? self.id);
    if (owner === undefined || owner.id === self.id) return false;
    return this.#call(owner, 'ownership.release', { engineId, requester: self.id }, RELEASE_TIMEOUT_MS);
  }

  async #acquireFromWitnesses(engineId: string, leaseMs: number): Promise<boolean> {
    const witnesses = chooseWitnesses(engineId, this.#options.listedNodes());
    if (witnesses.length === 0) return false;
    const params = { engineId, holder: this.#holder, leaseMs };
    const grants = await Promise.all(witnesses.map((id) => this.#askWitness(id, params)));
    const grantedCount = grants.filter((isGranted) => isGranted).length;
    return grantedCount > witnesses.length / 2;
  }

  async #askWitness(id: string, params: z.infer<typeof grantParams>): Promise<boolean> {
    if (id === this.#options.self().id) return this.handleGrant(params).done;
    const member = this.#options.member(id);
    if (member === undefined) return false;
    return this.#call(member, 'ownership.grant', params, GRANT_TIMEOUT_MS);
  }

  #releaseWitnesses(engineId: string): void {
    const params = { engineId, holder: this.#holder };
    this.#witnessTable.release(engineId, this.#holder);
    for (const id of chooseWitnesses(engineId, this.#options.listedNodes())) {
      const member = this.#options.member(id);
      if (member === undefined || id === this.#options.self().id) continue;
      runInBackground(this.#options.telemetry, 'witness-release', () =>
        this.#call(member, 'ownership.ungrant', params, GRANT_TIMEOUT_MS),
      );
    }
  }

  async #call(member: Member, method: string, params: unknown, timeoutMs: number): Promise<boolean> {
    const answer = await this.#options.caller.call(member.peerUrl, method, params, booleanAnswer, timeoutMs);
    return answer.isOk() && answer.value.done;
  }
}
