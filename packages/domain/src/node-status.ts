/** Status of an engine that a node owns, as shown by `canvasridge status`. */
export interface OwnedEngineStatus {
  readonly engineId: string;
  readonly running: number;
  readonly queued: number;
  readonly maxBatch: number;
  readonly slots: number;
  readonly adapters: readonly { readonly key: string; readonly state: string; readonly running: number }[];
}

/** Response body of `GET /admin/status`. */
export interface NodeStatus {
  readonly node: string;
  readonly zone: string;
  readonly region: string;
  readonly state: string;
  readonly revision: number;
  readonly digest: string;
  /** A published revision that the node does not apply, and the reason. */
  readonly held: { readonly revision: number; readonly reason: string } | null;
  readonly activeRequests: number;
  readonly completedRequests: number;
  readonly members: readonly {
    readonly id: string;
    readonly zone: string;
    readonly state: string;
    readonly peerUrl: string;
  }[];
  readonly engines: readonly OwnedEngineStatus[];
}

/** Response body of `GET /admin/configuration`: the configuration that the node currently applies. */
export interface ConfigurationInForce {
  readonly revision: number;
  readonly digest: string | null;
  /** Version of the configuration head in the configuration service. */
  readonly serviceVersion: number;
  readonly configuration: unknown;
}
