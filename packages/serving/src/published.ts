import type { BackendDescription } from './backend.js';
import type { ServingConfiguration } from './configuration.js';

/** A value with the revision of the publishing store at which it was written. */
export interface Revised<T> {
  readonly revision: number;
  readonly value: T;
  /** Some of what was written is left out, so that the whole entry of the same revision rules. */
  readonly partial?: boolean;
}

/** The published version of an adapter. */
export interface AdapterVersion {
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
}

/** A point in the history of the publishing store. Revisions of two eras can't be compared. */
export interface PublishedPoint {
  /** `NO_ERA` where the store has named none; absent from a build that reads none. */
  readonly era?: number | undefined;
  readonly revision: number;
}

/** All that was published, as one node knows it; sent to peers whose own view is older. */
export interface FleetSnapshot {
  /** Era of both revisions; see {@link PublishedPoint}. */
  readonly era?: number | undefined;
  /** Revision of the newest entry of the operators that is part of it. */
  readonly operatorRevision: number;
  readonly configuration: ServingConfiguration | undefined;
  readonly adapterVersions: readonly AdapterVersion[];
  /** Revision up to which the list of backends is complete. */
  readonly backendsRevision: number;
  readonly backends: readonly Revised<BackendDescription>[];
}

/** What a node needs for routing of the list of backends: all but the adapters that they hold. */
export interface BackendListing extends PublishedPoint {
  /** Revision up to which the list is complete. */
  readonly revision: number;
  readonly backends: readonly Revised<BackendDescription>[];
}

/** What operators published beside the list of backends and the configuration, which may be large. */
export interface OperatorState extends PublishedPoint {
  /** Revision of the newest entry that is part of it. */
  readonly revision: number;
  readonly adapterVersions: readonly AdapterVersion[];
}
