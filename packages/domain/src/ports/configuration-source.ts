import type { ResultAsync } from 'neverthrow';

/** A value and its version in the service: 1 when first published, incremented by each later publication. */
export interface SourceValue {
  readonly value: string;
  readonly version: number;
}

export type ConfigurationSourceError =
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'rate-limited' }
  | { readonly kind: 'missing'; readonly key: string };

/** Client of the configuration service, which offers only get and watch. */
export interface ConfigurationSource {
  get(key: string): ResultAsync<SourceValue, ConfigurationSourceError>;
  /**
   * Resolves when the value's version is above `afterVersion`, or with the unchanged value after `waitMs`.
   */
  watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): ResultAsync<SourceValue, ConfigurationSourceError>;
}
