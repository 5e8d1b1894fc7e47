import type { Clock } from '@canvasridge/clock';
import { rankByRendezvous } from '@canvasridge/placement';

/** Number of witnesses of an engine. A majority of them must grant the lease to its owner. */
const WITNESS_COUNT = 5;

/** Chooses the witnesses of an engine among all listed nodes. */
export function chooseWitnesses(engineId: string, listed: readonly string[]): string[] {
  return rankByRendezvous(`witness/${engineId}`, listed, (id) => id).slice(0, WITNESS_COUNT);
}

/** A lease granted to the holder of an engine. */
interface Grant {
  readonly holder: string;
  readonly untilMs: number;
}

/**
 * Leases that this node has granted as a witness, for engines that do not check fences. They are kept only in
 * memory: a process that has just started does not know the leases granted by its predecessor, so it grants
 * none until all of them must have expired.
 */
export class WitnessTable {
  readonly #clock: Clock;
  readonly #grants = new Map<string, Grant>();
  readonly #noGrantsUntilMs: number;

  /** @param longestLeaseMs longest lease that a predecessor may have granted */
  constructor(clock: Clock, longestLeaseMs: number) {
    this.#clock = clock;
    this.#noGrantsUntilMs = clock.now() + longestLeaseMs;
  }

  /**
   * Grants or renews a lease for `holder`, unless the lease of another holder is still valid. Returns whether
   * it did.
   */
  grant(engineId: string, holder: string, leaseMs: number): boolean {
    const nowMs = this.#clock.now();
    if (nowMs < this.#noGrantsUntilMs) return false;
    const current = this.#grants.get(engineId);
    if (current !== undefined && current.holder !== holder && current.untilMs > nowMs) return false;
    this.#grants.set(engineId, { holder, untilMs: nowMs + leaseMs });
    return true;
  }

  /** Ends a lease early. Only its holder can do so. */
  release(engineId: string, holder: string): void {
    if (this.#grants.get(engineId)?.holder === holder) this.#grants.delete(engineId);
  }
}
