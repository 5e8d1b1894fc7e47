import type { EngineDefinition } from '@canvasridge/domain';
import type { Member, PublishedRecord } from '@canvasridge/membership';
import { hash32, type EngineOutlook } from '@canvasridge/placement';
import * as z from 'zod';

/** [fence, running, queued, reclaimable slots, hashes of loaded adapters] */
const engineRecord = z.tuple([z.number(), z.number(), z.number(), z.number(), z.array(z.number()).max(4096)]);
export type EngineRecord = z.infer<typeof engineRecord>;

const KEY_PREFIX = 'e/';

export function engineRecordKey(engineId: string): string {
  return `${KEY_PREFIX}${engineId}`;
}

/** What peers publish about one engine. */
interface RemoteEngine {
  readonly owner: string;
  readonly fence: number;
  readonly running: number;
  readonly queued: number;
  readonly reclaimable: number;
  readonly loaded: ReadonlySet<number>;
}

/** A load that this node has caused elsewhere, believed until the owner publishes it. */
interface ExpectedLoad {
  readonly untilMs: number;
}

const EXPECTATION_MS = 3000;

/** What this node knows of engines that others own: late, and only a hint for routing. */
export class FleetView {
  readonly #engines = new Map<string, RemoteEngine>();
  readonly #expected = new Map<string, ExpectedLoad>();
  readonly #sent = new Map<string, number>();

  /** Takes a record over; ones that are no engine records are ignored. */
  update(record: PublishedRecord): void {
    if (!record.key.startsWith(KEY_PREFIX)) return;
    const checked = engineRecord.safeParse(record.value);
    if (!checked.success) return;
    const [fence, running, queued, reclaimable, loaded] = checked.data;
    const engineId = record.key.slice(KEY_PREFIX.length);
    const known = this.#engines.get(engineId);
    // An owner that let go publishes fence 0; news of an older claim do not override a newer one.
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

  forgetOwner(nodeId: string): void {
    for (const [engineId, engine] of this.#engines)
      if (engine.owner === nodeId) this.#engines.delete(engineId);
  }

  /** A peer answered that it does not own the engine. */
  refuted(engineId: string, owner: string): void {
    if (this.#engines.get(engineId)?.owner === owner) this.#engines.delete(engineId);
  }

  holds(engineId: string, key: string): boolean {
    return this.#engines.get(engineId)?.loaded.has(hash32(key)) === true;
  }

  /** This node has sent a request for `key` there: a load is on its way unless it is held already. */
  sent(engineId: string, key: string, nowMs: number): void {
    this.#sent.set(engineId, (this.#sent.get(engineId) ?? 0) + 1);
    if (!this.holds(engineId, key))
      this.#expected.set(`${engineId}/${key}`, { untilMs: nowMs + EXPECTATION_MS });
  }

  ended(engineId: string): void {
    this.#sent.set(engineId, Math.max(0, (this.#sent.get(engineId) ?? 0) - 1));
  }

  /** Outlook of an engine that a peer owns. */
  outlook(
    engine: EngineDefinition,
    key: string,
    rank: number,
    sameZone: boolean,
    nowMs: number,
  ): EngineOutlook | undefined {
    const remote = this.#engines.get(engine.id);
    if (remote === undefined) return undefined;
    // The owner's published count lags; what this node itself has running there is the least it can be.
    const running = Math.max(remote.running, this.#sent.get(engine.id) ?? 0);
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
  ): EngineOutlook['adapter'] {
    if (remote.loaded.has(hash32(key))) return 'loaded';
    const expectation = `${engineId}/${key}`;
    const expected = this.#expected.get(expectation);
    if (expected === undefined) return 'absent';
    if (expected.untilMs > nowMs) return 'loading';
    this.#expected.delete(expectation);
    return 'absent';
  }
}

/** Whether a member can be sent requests for an engine it owns. */
export function takesRequests(member: Member | undefined): boolean {
  return (
    member !== undefined &&
    (member.state === 'alive' || member.state === 'suspect' || member.state === 'draining')
  );
}
