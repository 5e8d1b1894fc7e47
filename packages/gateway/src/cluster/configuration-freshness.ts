import type { Clock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';

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
 * the steady clock is used: a change of the time of day alters no age.
 */
export class ConfigurationFreshness {
  readonly #clock: Clock;
  readonly #fleet: FleetState;
  #confirmedMs = -Infinity;
  /** A version that is not in force here yet was the newest at this moment. */
  #ahead: { readonly version: number; readonly asOfMs: number } | undefined;

  constructor(clock: Clock, fleet: FleetState) {
    this.#clock = clock;
    this.#fleet = fleet;
  }

  /**
   * @param version the newest version published
   * @param asOfMs moment at which it was, on this node's clock
   */
  confirm(version: number, asOfMs: number): void {
    this.#settle();
    if (version <= this.#fleet.configurationVersion) {
      this.#confirmedMs = Math.max(this.#confirmedMs, asOfMs);
    } else if (this.#ahead === undefined || asOfMs >= this.#ahead.asOfMs) {
      this.#ahead = { version, asOfMs };
    }
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
