import type { EngineDefinition } from '@canvasridge/domain';
import type { Member, PublishedRecord } from '@canvasridge/membership';
import { hash32, type RouteCandidate } from '@canvasridge/placement';
import * as z from 'zod';

/**
 * Record that an engine's owner publishes: [fence, running, queued, reclaimable, hashes of loaded adapters].
 * `reclaimable` is 1 if any slot is empty or idle, else 0.
 */
const engineRecord = z.tuple([z.number(), z.number(), z.number(), z.number(), z.array(z.number()).max(4096)]);
export type EngineRecord = z.infer<typeof engineRecord>;

const KEY_PREFIX = 'e/';

export function engineRecordKey(engineId: string): string {
  return `${KEY_PREFIX}${engineId}`;
}

/** The latest record that a peer has published about an engine that it owns. */
interface RemoteEngine {
  readonly owner: string;
  readonly fence: number;
  readonly running: number;
  readonly queued: number;
  readonly reclaimable: number;
  readonly loaded: ReadonlySet<number>;
}

/**
 * An adapter load that this node's request causes on a peer's engine, assumed until the owner publishes it.
 */
interface ExpectedLoad {
  readonly untilMs: number;
}

/** How long an expected load is assumed without a record that confirms it. */
const EXPECTED_LOAD_TTL_MS = 3000;

/**
 * State of the engines that other nodes own, as published by them. It lags and is only a hint for routing.
 */
export class RemoteEngines {
  readonly #engines = new Map<string, RemoteEngine>();
  readonly #expectedLoads = new Map<string, ExpectedLoad>();
  readonly #forwardedInFlight = new Map<string, number>();

  /** Applies a published record; ignores records that do not describe engines. */
  update(record: PublishedRecord): void {
    if (!record.key.startsWith(KEY_PREFIX)) return;
    const checked = engineRecord.safeParse(record.value);
    if (!checked.success) return;
    const [fence, running, queued, reclaimable, loaded] = checked.data;
    const engineId = record.key.slice(KEY_PREFIX.length);
    const known = this.#engines.get(engineId);
    // A former owner publishes fence 0. A record of an older claim does not replace that of a newer one.
    if (known !== undefined && known.owner !== record.owner && known.fence > fence) return;
    if (fence === 0) this.#engines.delete(engineId);
    else {
      const loadedSet = new Set(loaded);
      this.#engines.set(engineId, {
        owner: record.owner,
        fence,
        running,
        queued,
        reclaimable,
        loaded: loadedSet,
      });
    }
  }

  ownerOf(engineId: string): string | undefined {
    return this.#engines.get(engineId)?.owner;
  }

  /** Removes the records of all engines that a node owns. */
  removeRecordsOf(nodeId: string): void {
    for (const [engineId, engine] of this.#engines)
      if (engine.owner === nodeId) this.#engines.delete(engineId);
  }

  /**
   * Removes an engine's record if it still names `owner`, because that node is unreachable or answered that
   * it does not own the engine.
   */
  removeIfOwnedBy(engineId: string, owner: string): void {
    if (this.#engines.get(engineId)?.owner === owner) this.#engines.delete(engineId);
  }

  /** Whether the engine's owner has published the adapter as loaded. */
  holds(engineId: string, key: string): boolean {
    return this.#engines.get(engineId)?.loaded.has(hash32(key)) === true;
  }

  /**
   * Called when this node forwards a request for `key`: unless the adapter is loaded, the engine is about to
   * load it.
   */
  requestSent(engineId: string, key: string, nowMs: number): void {
    this.#forwardedInFlight.set(engineId, (this.#forwardedInFlight.get(engineId) ?? 0) + 1);
    if (!this.holds(engineId, key))
      this.#expectedLoads.set(`${engineId}/${key}`, { untilMs: nowMs + EXPECTED_LOAD_TTL_MS });
  }

  /** Called when a forwarded request has ended. */
  requestEnded(engineId: string): void {
    this.#forwardedInFlight.set(engineId, Math.max(0, (this.#forwardedInFlight.get(engineId) ?? 0) - 1));
  }

  /** Routing information about an engine that a peer owns; undefined without a record of it. */
  routeCandidate(
    engine: EngineDefinition,
    key: string,
    rank: number,
    sameZone: boolean,
    nowMs: number,
  ): RouteCandidate | undefined {
    const remote = this.#engines.get(engine.id);
    if (remote === undefined) return undefined;
    // The published count lags, but at least the requests forwarded by this node are running.
    const running = Math.max(remote.running, this.#forwardedInFlight.get(engine.id) ?? 0);
    return {
      engineId: engine.id,
      adapter: this.#adapterState(remote, engine.id, key, nowMs),
      running,
      queued: remote.queued,
      maxBatch: engine.maxBatch,
      reclaimableSlots: remote.reclaimable,
      rank,
      sameZone,
    };
  }

  #adapterState(
    remote: RemoteEngine,
    engineId: string,
    key: string,
    nowMs: number,
  ): RouteCandidate['adapter'] {
    if (remote.loaded.has(hash32(key))) return 'loaded';
    const expectedKey = `${engineId}/${key}`;
    const expected = this.#expectedLoads.get(expectedKey);
    if (expected === undefined) return 'absent';
    if (expected.untilMs > nowMs) return 'loading';
    this.#expectedLoads.delete(expectedKey);
    return 'absent';
  }
}

/** Whether requests for an engine can be forwarded to the member that owns it. */
export function acceptsRequests(member: Member | undefined): boolean {
  return (
    member !== undefined &&
    (member.state === 'alive' || member.state === 'suspect' || member.state === 'draining')
  );
}
