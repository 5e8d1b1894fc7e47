import type { Clock } from '@canvasridge/clock';

/**
 * How long a request stays quarantined. After that it may run again and, if it still crashes backends, crash
 * as many of them as the first time before it is quarantined again: three in an hour.
 */
export const QUARANTINE_MS = 3_600_000;
/** As many entries as fit into one gossip datagram with their ages: 32 of 24 bytes each. */
const MAX_QUARANTINED = 32;

/** A quarantined request, in the form that nodes exchange. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  /**
   * Time since it was quarantined: an age and not a time stamp, as the clocks of the nodes have different
   * zero points.
   */
  readonly ageMs: number;
}

/** The quarantined requests, which are sent to no backend, by fingerprint. */
export class QuarantineList {
  readonly #clock: Clock;
  /** Time at which each quarantine ends, earliest first. */
  readonly #endsMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#endsMs.size;
  }

  /**
   * Returns whether the request was added: it was not listed, its quarantine is not over, and, if the list is
   * full, it does not end before all listed ones. The entry that ends first is dropped from a full list.
   */
  add({ fingerprint, ageMs }: QuarantinedRequest): boolean {
    this.#removeExpired();
    if (ageMs >= QUARANTINE_MS || this.#endsMs.has(fingerprint)) return false;
    this.#endsMs.set(fingerprint, this.#clock.now() + QUARANTINE_MS - ageMs);
    const ordered = [...this.#endsMs].sort(([, a], [, b]) => a - b).slice(-MAX_QUARANTINED);
    this.#endsMs.clear();
    for (const [key, endMs] of ordered) this.#endsMs.set(key, endMs);
    return this.#endsMs.has(fingerprint);
  }

  /** Remaining time of the request's quarantine in milliseconds; undefined if it is not quarantined. */
  remainingMs(fingerprint: string): number | undefined {
    const endMs = this.#endsMs.get(fingerprint);
    if (endMs === undefined) return undefined;
    const remainingMs = endMs - this.#clock.now();
    return remainingMs > 0 ? remainingMs : undefined;
  }

  entries(): QuarantinedRequest[] {
    this.#removeExpired();
    const nowMs = this.#clock.now();
    return [...this.#endsMs].map(([fingerprint, endMs]) => ({
      fingerprint,
      ageMs: Math.round(QUARANTINE_MS - (endMs - nowMs)),
    }));
  }

  #removeExpired(): void {
    const nowMs = this.#clock.now();
    for (const [fingerprint, endMs] of this.#endsMs) {
      if (endMs <= nowMs) this.#endsMs.delete(fingerprint);
    }
  }
}
