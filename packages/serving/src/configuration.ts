import type { Tenant } from './tenants.js';

/**
 * How often a request may run: `idempotent` any number of times, `at-most-once` once, `stream` once unless
 * its route is resumable. The answer of a `stream` is a series of server-sent events.
 */
export type RouteKind = 'idempotent' | 'at-most-once' | 'stream';

/** One of the services among which a route splits its requests. Weights are relative. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A rule that sends requests of one host and path prefix to services. Times are in milliseconds. */
export interface HttpRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Longest time that a request is held. */
  readonly timeoutMs: number;
  /** Time without an event after which clients give a stream up; undefined for answers in one piece. */
  readonly patienceMs: number | undefined;
  /** Time to the answer, or to the first event of a stream, that the operator aims for. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Backends that may be given one request, at the most. */
  readonly attempts: number;
  /** Whether a broken stream may go on at another backend. */
  readonly resumable: boolean;
  /** Whether requests without a key run where the configuration names tenants. */
  readonly isPublic: boolean;
}

/** A base model of a service. */
export interface ModelProfile {
  readonly name: string;
  readonly sizeMb: number;
  readonly adapterMb: number;
}

/** What the backends of a service offer if they are model engines. */
export interface EngineProfile {
  readonly models: readonly ModelProfile[];
  /** Adapters that one backend holds at a time, at the most. */
  readonly adapterSlots: number;
  /** Memory for weights and adapters of one backend. */
  readonly memoryMb: number;
  /** Requests that run together in one backend. */
  readonly batchSlots: number;
  /** Loads that the weight store allows in a second, for all backends together. */
  readonly storeLoadsPerSecond: number;
}

/** A set of backends that are alike. */
export interface BackendService {
  readonly name: string;
  /** Connections that one backend accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
}

/** Bounds of what a client may send and how long it may rest. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The whole configuration in one version. Versions rise. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly HttpRoute[];
  readonly services: readonly BackendService[];
  readonly limits: RequestLimits;
  /** Undefined if requests need no key. An empty list allows nobody but on public routes. */
  readonly tenants: readonly Tenant[] | undefined;
}
