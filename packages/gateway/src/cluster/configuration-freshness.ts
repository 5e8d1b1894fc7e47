import type { Clock } from '@canvasridge/clock';
import { STORE_RETURN_WINDOW_MS, type FleetState } from '@canvasridge/serving';

/** What a node tells others about the configuration that it has in force. */
export interface AdvertisedConfiguration {
  /** 0 if there is none. */
  readonly configurationVersion: number;
  /** See {@link ConfigurationFreshness}; absent if it was never known. */
  readonly configurationAgeMs?: number;
}

/**
 * Tracks how long ago the configuration in force on this node was known to be the newest one published. A
 * node that passes this on says how old its own knowledge is, so that the age always counts from the store's
 * answer, whichever path the information took. Only the monotonic clock is used: a change of the system time
 * alters no age. A store that was restored from a copy may lack the newest version until operators have
 * written it again, so during that time it confirms only versions newer than the one in force before.
 */
export class ConfigurationFreshness {
  readonly #clock: Clock;
  readonly #fleet: FleetState;
  /** When the configuration in force was last known to be the newest one, on this node's clock. */
  #confirmedMs = -Infinity;
  /** A version that is not in force here yet, and when it was known to be the newest. */
  #pendingConfirmation: { readonly version: number; readonly asOfMs: number } | undefined;
  /**
   * The newest version that any node has announced, and the earliest time at which a version above the one in
   * force was known.
   */
  #newest = { version: 0, sinceMs: -Infinity };
  /** When the store was found to be in a new era, and the version in force at that time. */
  #newEraMs = -Infinity;
  #versionAtNewEra = 0;

  constructor(clock: Clock, fleet: FleetState) {
    this.#clock = clock;
    this.#fleet = fleet;
    fleet.onNewEra(() => {
      this.#newEraMs = clock.now();
      this.#versionAtNewEra = fleet.configurationVersion;
    });
  }

  /** The newest version that any node has announced; 0 if none was. */
  get newestVersion(): number {
    return this.#newest.version;
  }

  /** Records that some node has this version in force, or had it at an earlier time. */
  onVersionSeen(version: number, atMs = this.#clock.now()): void {
    const { version: newest, sinceMs } = this.#newest;
    if (version <= newest) return;
    const isAwaited = newest > this.#fleet.configurationVersion;
    this.#newest = { version, sinceMs: isAwaited ? Math.min(sinceMs, atMs) : atMs };
  }

  /**
   * Records that a version was the newest one published.
   * @param version the newest version published
   * @param asOfMs when it was the newest, on this node's clock; negative infinity if that is not known
   */
  confirm(version: number, asOfMs: number): void {
    this.#applyPendingConfirmation();
    if (asOfMs === -Infinity) {
      this.onVersionSeen(version);
      return;
    }
    this.onVersionSeen(version, asOfMs);
    if (this.#isRefuted(version, asOfMs) || this.#mayBeLost(version, asOfMs)) return;
    if (version <= this.#fleet.configurationVersion) {
      this.#confirmedMs = Math.max(this.#confirmedMs, asOfMs);
    } else if (this.#pendingConfirmation === undefined || asOfMs >= this.#pendingConfirmation.asOfMs) {
      this.#pendingConfirmation = { version, asOfMs };
    }
  }

  /** Whether a newer version was already in force somewhere at that time. */
  #isRefuted(version: number, asOfMs: number): boolean {
    return version < this.#newest.version && asOfMs >= this.#newest.sinceMs;
  }

  /** Whether the store may have accepted a version newer than this one, and lost it. */
  #mayBeLost(version: number, asOfMs: number): boolean {
    if (version > this.#versionAtNewEra || asOfMs < this.#newEraMs) return false;
    return this.#clock.now() - this.#newEraMs < STORE_RETURN_WINDOW_MS;
  }

  /** What this node tells others. The age is absent if it was never known. */
  get advertised(): AdvertisedConfiguration {
    const { configurationVersion } = this.#fleet;
    const ageMs = Math.ceil(this.ageMs);
    return Number.isFinite(ageMs)
      ? { configurationVersion, configurationAgeMs: ageMs }
      : { configurationVersion };
  }

  /**
   * Time since the configuration in force was last known to be the newest one, in milliseconds; Infinity if
   * it never was.
   */
  get ageMs(): number {
    this.#applyPendingConfirmation();
    return this.#clock.now() - this.#confirmedMs;
  }

  #applyPendingConfirmation(): void {
    if (
      this.#pendingConfirmation === undefined ||
      this.#pendingConfirmation.version > this.#fleet.configurationVersion
    )
      return;
    this.#confirmedMs = Math.max(this.#confirmedMs, this.#pendingConfirmation.asOfMs);
    this.#pendingConfirmation = undefined;
  }
}
