import type { Tenant } from './tenants.js';

/**
 * How often a request may run: `idempotent` any number of times, `at-most-once` once, `stream` once unless
 * its route is resumable. The answer of a `stream` is a sequence of server-sent events.
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
  /** Maximum time that a request may take. */
  readonly timeoutMs: number;
  /**
   * Time without an event after which clients give up on a stream; undefined for routes that do not stream.
   */
  readonly patienceMs: number | undefined;
  /** Latency objective: time to the answer, or to the first event of a stream. */
  readonly objectiveMs: number;
  /**
   * Longest pause between two events with which a stream still meets its objective; undefined if none is set, as in
   * configurations from nodes of earlier builds.
   */
  readonly gapObjectiveMs?: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of backends to which one request may be sent. */
  readonly attempts: number;
  /** Whether an interrupted stream may be continued by another backend. */
  readonly resumable: boolean;
  /** Whether requests without a key are accepted even if the configuration defines tenants. */
  readonly isPublic: boolean;
}

/** A base model of a service. */
export interface ModelProfile {
  readonly name: string;
  readonly sizeMb: number;
  readonly adapterMb: number;
}

/** Properties of a service's backends that are model engines. */
export interface EngineProfile {
  readonly models: readonly ModelProfile[];
  /** Maximum number of adapters that one backend holds at a time. */
  readonly adapterSlots: number;
  /** Memory of one backend for weights and adapters. */
  readonly memoryMb: number;
  /** Requests that one backend runs concurrently. */
  readonly batchSlots: number;
  /** Loads per second that the weight store allows for all backends together. */
  readonly storeLoadsPerSecond: number;
}

/** A set of interchangeable backends. */
export interface BackendService {
  readonly name: string;
  /** Maximum number of connections to one backend from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
}

/** Limits on the size of client requests and on the time that clients take to send them. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. A newer configuration has a higher version. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly HttpRoute[];
  readonly services: readonly BackendService[];
  readonly limits: RequestLimits;
  /** Undefined if requests need no key. With an empty list, only public routes can be used. */
  readonly tenants: readonly Tenant[] | undefined;
}
