import { Notifier, type Clock } from '@canvasridge/clock';
import type { ConfigurationSourceError, SourceValue } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';

/** `down` fails every read; `stale` keeps returning the values that it had when it was set to stale. */
export type ConfigurationServiceMode = 'up' | 'down' | 'stale';

const MAX_VALUE_BYTES = 1_048_576;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Emulates the configuration service: readers can get and watch values, each key has a version, and reads per
 * second are limited.
 */
export class ConfigurationServiceEmulator {
  readonly #clock: Clock;
  readonly #readsPerSecond: number;
  readonly #values = new Map<string, SourceValue>();
  #visibleValues = new Map<string, SourceValue>();
  readonly #valuesChanged = new Notifier();
  #mode: ConfigurationServiceMode = 'up';
  #windowStartMs = 0;
  #windowReads = 0;
  #pendingWatches = 0;
  reads = 0;
  refusedReads = 0;
  peakReadsPerSecond = 0;

  constructor(clock: Clock, readsPerSecond: number) {
    this.#clock = clock;
    this.#readsPerSecond = readsPerSecond;
  }

  get mode(): ConfigurationServiceMode {
    return this.#mode;
  }

  setMode(mode: ConfigurationServiceMode): void {
    this.#visibleValues = mode === 'stale' ? new Map(this.#values) : this.#values;
    this.#mode = mode;
    this.#valuesChanged.notify();
  }

  /** Publishes a value. Operators do this with tools of the platform; nodes never call it. */
  publish(key: string, value: string): Result<void, { readonly kind: 'too-large'; readonly bytes: number }> {
    const bytes = Buffer.byteLength(value);
    if (bytes > MAX_VALUE_BYTES) return err({ kind: 'too-large', bytes });
    const version = (this.#values.get(key)?.version ?? 0) + 1;
    this.#values.set(key, { value, version });
    if (this.#mode === 'up') this.#visibleValues = this.#values;
    this.#valuesChanged.notify();
    return ok();
  }

  get(key: string): Result<SourceValue, ConfigurationSourceError> {
    if (!this.#admitRead()) return err({ kind: 'rate-limited' });
    return this.#read(key);
  }

  /** Waits until the value is newer than `afterVersion`, the service goes down, or `waitMs` have passed. */
  async watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<SourceValue, ConfigurationSourceError>> {
    if (!this.#admitRead()) return err({ kind: 'rate-limited' });
    this.#pendingWatches += 1;
    const deadlineMs = this.#clock.now() + waitMs;
    const timeout = this.#clock.setTimer(waitMs, () => this.#valuesChanged.notify());
    let result = this.#read(key);
    while (!isNewer(result, afterVersion) && this.#mode !== 'down' && this.#clock.now() < deadlineMs) {
      await this.#valuesChanged.wait();
      result = this.#read(key);
    }
    timeout.cancel();
    this.#pendingWatches -= 1;
    return result;
  }

  #read(key: string): Result<SourceValue, ConfigurationSourceError> {
    if (this.#mode === 'down') return err({ kind: 'unavailable', detail: 'the service is down' });
    const found = this.#visibleValues.get(key);
    return found === undefined ? err({ kind: 'missing', key }) : ok(found);
  }

  /**
   * Counts a read; returns whether it is within the limit, against which pending watches count as reads too.
   */
  #admitRead(): boolean {
    this.reads += 1;
    const nowMs = this.#clock.now();
    if (nowMs - this.#windowStartMs >= MILLISECONDS_PER_SECOND) {
      this.#windowStartMs = nowMs;
      this.#windowReads = 0;
    }
    this.#windowReads += 1;
    const readsInWindow = this.#windowReads + this.#pendingWatches;
    this.peakReadsPerSecond = Math.max(this.peakReadsPerSecond, readsInWindow);
    if (readsInWindow <= this.#readsPerSecond) return true;
    this.refusedReads += 1;
    return false;
  }
}

function isNewer(result: Result<SourceValue, ConfigurationSourceError>, afterVersion: number): boolean {
  return result.isOk() && result.value.version > afterVersion;
}
