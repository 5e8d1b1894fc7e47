import type { FleetState } from '@canvasridge/serving';
import type { BackendBackoffs } from './backend-backoffs.js';

export interface BackendAvailabilityOptions {
  readonly fleet: FleetState;
  readonly backoffs: BackendBackoffs;
  /** Whether other nodes take requests, which may not have been turned away. */
  readonly othersServe: () => boolean;
}

/** For a request that any other node may serve: no longer than it takes to connect to one, in milliseconds. */
export const RETRY_ELSEWHERE_MS = 20;

/** Which backends this node may give requests to, by the list and by what they said to this node. */
export class BackendAvailability {
  readonly #options: BackendAvailabilityOptions;

  constructor(options: BackendAvailabilityOptions) {
    this.#options = options;
  }

  /** Whether a backend asked this node for a time that has not ended. */
  isBackingOff(id: string): boolean {
    return this.#options.backoffs.has(id);
  }

  /** Backends of a service that this node must not use though others may: who chooses for it may not know of them. */
  closedTo(service: string): readonly string[] {
    const { fleet, backoffs } = this.#options;
    const backingOff = fleet.backendsOf(service).filter(({ id }) => backoffs.has(id));
    return [...new Set([...fleet.announcedOf(service), ...backingOff.map(({ id }) => id)])];
  }

  /**
   * When a caller should come back for whom nothing is left but backends that want nothing from this node now, in milliseconds;
   * undefined while there is another one, or none at all. Such a request is refused at once: another node may serve it, and held back
   * here it could only wait.
   */
  retryAfterMs(service: string, excluded: readonly string[]): number | undefined {
    const { fleet, backoffs, othersServe } = this.#options;
    let soonestMs = Infinity;
    for (const { id, state } of fleet.backendsOf(service)) {
      if (state !== 'ready') continue;
      const remainingMs = backoffs.remainingMs(id);
      if (remainingMs > 0) soonestMs = Math.min(soonestMs, remainingMs);
      else if (!excluded.includes(id)) return undefined;
    }
    if (soonestMs === Infinity) return undefined;
    return othersServe() ? Math.min(soonestMs, RETRY_ELSEWHERE_MS) : soonestMs;
  }
}
