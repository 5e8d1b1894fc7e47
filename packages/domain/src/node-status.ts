/** An engine that a node owns, as `canvasridge status` shows it. */
export interface OwnedEngineStatus {
  readonly engineId: string;
  readonly running: number;
  readonly queued: number;
  readonly maxBatch: number;
  readonly slots: number;
  readonly adapters: readonly { readonly key: string; readonly state: string; readonly running: number }[];
}

/** Answer of `GET /admin/status`. */
export interface NodeStatus {
  readonly node: string;
  readonly zone: string;
  readonly region: string;
  readonly state: string;
  readonly revision: number;
  readonly digest: string;
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

/** Answer of `GET /admin/configuration`. */
export interface ConfigurationInForce {
  readonly revision: number;
  readonly digest: string | null;
  readonly serviceVersion: number;
  readonly configuration: unknown;
}
