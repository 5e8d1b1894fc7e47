import type { Clock } from '@canvasridge/clock';
import { RETURN_WINDOW_MS, type FleetState } from '@canvasridge/serving';

/** What a node tells others of the configuration that it has in force. */
export interface ToldConfiguration {
  /** 0 for none. */
  readonly configurationVersion: number;
  /** See {@link ConfigurationFreshness}; absent if the node never knew. */
  readonly configurationAgeMs?: number;
}

/**
 * How long ago the configuration in force on this node was known to be the newest one published. Whoever tells of it
 * says how old its own knowledge is, so that the age counts from the store's answer, whatever way the news took. Only
 * the steady clock is used: a change of the time of day alters no age. A store that came back from a copy may lack the newest
 * one until operators have written it again, so for that time it confirms only what is newer than before.
 */
export class ConfigurationFreshness {
  readonly #clock: Clock;
  readonly #fleet: FleetState;
  #confirmedMs = -Infinity;
  /** A version that is not in force here yet was the newest at this moment. */
  #ahead: { readonly version: number; readonly asOfMs: number } | undefined;
  /** The newest version that any node has shown, and since when one above the version in force was known of. */
  #newest = { version: 0, sinceMs: -Infinity };
  /** When the store was found to be in a new era, and the version in force then. */
  #returnedMs = -Infinity;
  #versionAtReturn = 0;

  constructor(clock: Clock, fleet: FleetState) {
    this.#clock = clock;
    this.#fleet = fleet;
    fleet.onNewEra(() => {
      this.#returnedMs = clock.now();
      this.#versionAtReturn = fleet.configurationVersion;
    });
  }

  /** Some node has this version in force, or had it at an earlier moment. */
  shown(version: number, atMs = this.#clock.now()): void {
    const { version: newest, sinceMs } = this.#newest;
    if (version <= newest) return;
    const isAwaited = newest > this.#fleet.configurationVersion;
    this.#newest = { version, sinceMs: isAwaited ? Math.min(sinceMs, atMs) : atMs };
  }

  /**
   * @param version the newest version published
   * @param asOfMs moment at which it was, on this node's clock; negative infinity if that is not known
   */
  confirm(version: number, asOfMs: number): void {
    this.#settle();
    if (asOfMs === -Infinity) {
      this.shown(version);
      return;
    }
    this.shown(version, asOfMs);
    if (this.#isRefuted(version, asOfMs) || this.#mayBeLost(version, asOfMs)) return;
    if (version <= this.#fleet.configurationVersion) {
      this.#confirmedMs = Math.max(this.#confirmedMs, asOfMs);
    } else if (this.#ahead === undefined || asOfMs >= this.#ahead.asOfMs) {
      this.#ahead = { version, asOfMs };
    }
  }

  /** Whether a newer version was in force somewhere by then. */
  #isRefuted(version: number, asOfMs: number): boolean {
    return version < this.#newest.version && asOfMs >= this.#newest.sinceMs;
  }

  /** Whether the store may have taken a newer version than this one, and lost it. */
  #mayBeLost(version: number, asOfMs: number): boolean {
    if (version > this.#versionAtReturn || asOfMs < this.#returnedMs) return false;
    return this.#clock.now() - this.#returnedMs < RETURN_WINDOW_MS;
  }

  /** What is told to other nodes. The age is absent if it was never known. */
  get told(): ToldConfiguration {
    const { configurationVersion } = this.#fleet;
    const ageMs = Math.ceil(this.ageMs);
    return Number.isFinite(ageMs)
      ? { configurationVersion, configurationAgeMs: ageMs }
      : { configurationVersion };
  }

  /** Milliseconds; infinite before it was known at all. */
  get ageMs(): number {
    this.#settle();
    return this.#clock.now() - this.#confirmedMs;
  }

  #settle(): void {
    if (this.#ahead === undefined || this.#ahead.version > this.#fleet.configurationVersion) return;
    this.#confirmedMs = Math.max(this.#confirmedMs, this.#ahead.asOfMs);
    this.#ahead = undefined;
  }
}
