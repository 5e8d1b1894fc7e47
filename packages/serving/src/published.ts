import type { BackendDescription } from './backend.js';
import type { ServingConfiguration } from './configuration.js';

/** A value with the revision of the publishing store at which it was written. */
export interface Revised<T> {
  readonly revision: number;
  readonly value: T;
  /**
   * Whether parts of the written value are left out; a complete entry of the same revision then takes
   * precedence.
   */
  readonly partial?: boolean;
}

/** The published version of an adapter. */
export interface AdapterVersion {
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
}

/** A point in the history of the publishing store. Revisions of different eras cannot be compared. */
export interface PublishedPoint {
  /**
   * `NO_ERA` if the store has not published an era; absent in messages of older builds, which do not know
   * eras.
   */
  readonly era?: number | undefined;
  readonly revision: number;
}

/** One node's view of everything published; sent to peers whose own view is older. */
export interface FleetSnapshot {
  /** Era of both revisions; see {@link PublishedPoint}. */
  readonly era?: number | undefined;
  /** Revision of the newest entry written by operators that is included. */
  readonly operatorRevision: number;
  readonly configuration: ServingConfiguration | undefined;
  readonly adapterVersions: readonly AdapterVersion[];
  /** Revision as of which the list of backends is complete. */
  readonly backendsRevision: number;
  readonly backends: readonly Revised<BackendDescription>[];
}

/** The part of the list of backends that a node needs for routing: everything except the loaded adapters. */
export interface BackendListing extends PublishedPoint {
  /** Revision as of which the list is complete. */
  readonly revision: number;
  readonly backends: readonly Revised<BackendDescription>[];
}

/** What operators published, except for the configuration, which may be large. */
export interface OperatorState extends PublishedPoint {
  /** Revision of the newest entry that is included. */
  readonly revision: number;
  readonly adapterVersions: readonly AdapterVersion[];
}
