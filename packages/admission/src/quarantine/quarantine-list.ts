import type { Clock } from '@canvasridge/clock';

/**
 * How long a request is kept from backends. After that it gets another chance, at the price of as many backends again
 * as it took before: three in an hour.
 */
export const QUARANTINE_MS = 3_600_000;
/** As many as fit into one gossip datagram with their ages: 32 of 24 bytes. */
const MOST_QUARANTINED = 32;

/** A quarantined request, as nodes tell one another. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  /** Time since it was quarantined, as clocks of nodes have no common zero. */
  readonly ageMs: number;
}

/** Requests that are sent to no backend, by fingerprint. */
export class QuarantineList {
  readonly #clock: Clock;
  /** Moments at which the quarantine ends, those that end first in front. */
  readonly #endsMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#endsMs.size;
  }

  /** Returns whether it is news. */
  add({ fingerprint, ageMs }: QuarantinedRequest): boolean {
    this.#dropEnded();
    if (ageMs >= QUARANTINE_MS || this.#endsMs.has(fingerprint)) return false;
    this.#endsMs.set(fingerprint, this.#clock.now() + QUARANTINE_MS - ageMs);
    const ordered = [...this.#endsMs].sort(([, a], [, b]) => a - b).slice(-MOST_QUARANTINED);
    this.#endsMs.clear();
    for (const [key, endMs] of ordered) this.#endsMs.set(key, endMs);
    return this.#endsMs.has(fingerprint);
  }

  /** Time for which a request is kept from backends still, in milliseconds; undefined if it is not. */
  remainingMs(fingerprint: string): number | undefined {
    const endMs = this.#endsMs.get(fingerprint);
    if (endMs === undefined) return undefined;
    const remainingMs = endMs - this.#clock.now();
    return remainingMs > 0 ? remainingMs : undefined;
  }

  entries(): QuarantinedRequest[] {
    this.#dropEnded();
    const nowMs = this.#clock.now();
    return [...this.#endsMs].map(([fingerprint, endMs]) => ({
      fingerprint,
      ageMs: Math.round(QUARANTINE_MS - (endMs - nowMs)),
    }));
  }

  #dropEnded(): void {
    const nowMs = this.#clock.now();
    for (const [fingerprint, endMs] of this.#endsMs) {
      if (endMs <= nowMs) this.#endsMs.delete(fingerprint);
    }
  }
}
