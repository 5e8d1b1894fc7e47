import type { Clock } from '@canvasridge/clock';
import { rankByRendezvous } from '@canvasridge/placement';

/** Witnesses of an engine; a majority of them must agree to an owner. */
const WITNESS_COUNT = 5;

/** The nodes, among all that are listed, that vouch for the owner of an engine. */
export function chooseWitnesses(engineId: string, listed: readonly string[]): string[] {
  return rankByRendezvous(`witness/${engineId}`, listed, (id) => id).slice(0, WITNESS_COUNT);
}

interface Grant {
  readonly holder: string;
  readonly untilMs: number;
}

/**
 * Leases that this node has vouched for, for engines that do not check fences. Kept in memory only: a
 * node that has just started cannot know what its predecessor vouched for and grants nothing until every
 * such lease must have run out.
 */
export class WitnessTable {
  readonly #clock: Clock;
  readonly #grants = new Map<string, Grant>();
  readonly #silentUntilMs: number;

  /** @param longestLeaseMs longest lease that a predecessor may have vouched for */
  constructor(clock: Clock, longestLeaseMs: number) {
    this.#clock = clock;
    this.#silentUntilMs = clock.now() + longestLeaseMs;
  }

  /** Vouches for `holder` for `leaseMs`, unless another holder's lease is still running. */
  grant(engineId: string, holder: string, leaseMs: number): boolean {
    const nowMs = this.#clock.now();
    if (nowMs < this.#silentUntilMs) return false;
    const current = this.#grants.get(engineId);
    if (current !== undefined && current.holder !== holder && current.untilMs > nowMs) return false;
    this.#grants.set(engineId, { holder, untilMs: nowMs + leaseMs });
    return true;
  }

  /** The holder gives its lease up early; nobody else can end it. */
  release(engineId: string, holder: string): void {
    if (this.#grants.get(engineId)?.holder === holder) this.#grants.delete(engineId);
  }
}
