import type { ResultAsync } from 'neverthrow';

/** A value with the service's version of its key: 1 at the first publication, one more at each next. */
export interface SourceValue {
  readonly value: string;
  readonly version: number;
}

export type ConfigurationSourceError =
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'rate-limited' }
  | { readonly kind: 'missing'; readonly key: string };

/** The configuration service: get and watch, nothing else. */
export interface ConfigurationSource {
  get(key: string): ResultAsync<SourceValue, ConfigurationSourceError>;
  /** Waits until the value's version is above `afterVersion`, or answers the old one after `waitMs`. */
  watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): ResultAsync<SourceValue, ConfigurationSourceError>;
}
