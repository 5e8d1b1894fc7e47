import type { Clock } from '@canvasridge/clock';
import { softwareVersionOf, type FleetState } from '@canvasridge/serving';
import { MAX_LIFE_MS } from './stream-version-protocol.js';

export interface ServiceVersionsOptions {
  readonly clock: Clock;
  readonly fleet: Pick<FleetState, 'allBackends' | 'isListKnown'>;
  /** Age of the backend list in milliseconds. */
  readonly listAgeMs: () => number;
}

/** With an older list, or after a longer pause between two looks at it, this node may have missed a version. */
const MAX_LIST_AGE_MS = 2000;
/** The list is read at most this often, as requests ask more often than it changes. */
const MIN_UPDATE_GAP_MS = 100;

/** Which software versions the backends of each service had lately, as far as this node's list tells. */
export class ServiceVersions {
  readonly #options: ServiceVersionsOptions;
  /** By service and version: when a backend was last listed with it. */
  readonly #lastListedMs = new Map<string, Map<string, number>>();
  /** Since when the list has never been older than {@link MAX_LIST_AGE_MS}; undefined while it is. */
  #followedSinceMs: number | undefined;
  #updatedMs = -Infinity;

  constructor(options: ServiceVersionsOptions) {
    this.#options = options;
  }

  /** Reads the list. Call it before the other methods, and about once a second. */
  update(): void {
    const { clock, fleet, listAgeMs } = this.#options;
    const nowMs = clock.now();
    const gapMs = nowMs - this.#updatedMs;
    if (gapMs < MIN_UPDATE_GAP_MS) return;
    this.#updatedMs = nowMs;
    if (gapMs > MAX_LIST_AGE_MS) this.#followedSinceMs = undefined;
    if (!fleet.isListKnown || listAgeMs() > MAX_LIST_AGE_MS) this.#followedSinceMs = undefined;
    else this.#followedSinceMs ??= nowMs;
    for (const { value } of fleet.allBackends()) {
      const versions = this.#lastListedMs.get(value.service) ?? new Map<string, number>();
      this.#lastListedMs.set(value.service, versions);
      versions.set(softwareVersionOf(value), nowMs);
    }
    for (const versions of this.#lastListedMs.values())
      for (const [version, listedMs] of versions)
        if (nowMs - listedMs > MAX_LIFE_MS) versions.delete(version);
  }

  /** Whether backends of several versions were listed within this time. */
  isMixed(service: string, withinMs: number): boolean {
    return this.#listedWithin(service, withinMs).length > 1;
  }

  /**
   * The version of all backends that were listed within this time; undefined if there were several versions, or if
   * this node did not follow the list all that time.
   */
  onlyVersion(service: string, withinMs: number): string | undefined {
    const { clock } = this.#options;
    const isFollowed = clock.now() - (this.#followedSinceMs ?? Infinity) >= withinMs;
    const versions = this.#listedWithin(service, withinMs);
    return isFollowed && versions.length === 1 ? versions[0] : undefined;
  }

  #listedWithin(service: string, withinMs: number): string[] {
    const fromMs = this.#options.clock.now() - withinMs;
    const versions = this.#lastListedMs.get(service) ?? new Map<string, number>();
    return [...versions].filter(([, listedMs]) => listedMs >= fromMs).map(([version]) => version);
  }
}
