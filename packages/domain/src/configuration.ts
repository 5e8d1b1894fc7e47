import * as z from 'zod';

/**
 * Schema of the configuration document, in which operators state what is to be served. It contains the
 * addresses of engines, services and nodes because they are available nowhere else; which machines are up
 * comes from the machine list.
 */
const name = z.string().regex(/^[\w.-]{1,64}$/, 'expected 1 to 64 letters, digits, ".", "_" or "-"');
const url = z.url({ protocol: /^https?$/, error: 'expected a URL such as "http://10.0.0.5:9000"' });
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest of 64 lower-case hex digits');

const baseModel = z.strictObject({ name });

const adapterDefinition = z.strictObject({
  name: z.string().regex(/^[\w./-]{1,128}$/, 'expected 1 to 128 letters, digits, ".", "_", "/" or "-"'),
  base: name,
  /** Versions served, from oldest to newest. */
  versions: z.array(z.string().regex(/^[\w.-]{1,64}$/)).min(1),
  /** Groups adapters that tend to be requested at the same time, such as the adapters of one match. */
  group: name.optional(),
  /** Number of engines that keep this adapter loaded even while it is idle. */
  pinnedReplicas: z.int().min(0).max(16).optional(),
});

const engineDefinition = z.strictObject({
  id: name,
  url,
  base: name,
  zone: name,
  /** Id of the engine's machine in the machine list. */
  machine: name.optional(),
  /** Number of adapters that the engine can hold at one time. */
  slots: z.int().min(1).max(1024),
  /** Number of requests that the engine runs at one time. */
  maxBatch: z.int().min(1).max(4096),
  /**
   * Whether the engine refuses orders and requests whose fence (fencing token) is lower than its current one.
   */
  checksFence: z.boolean().default(true),
});

const serviceDefinition = z.strictObject({
  name,
  /** `machine` is the id of the back end's machine in the machine list. */
  backEnds: z.array(z.strictObject({ url, zone: name, machine: name.optional() })).min(1),
  /** Calls that may be run at most once; a path also covers all paths below it. */
  notRepeatable: z
    .array(
      z.strictObject({
        method: z.enum(['POST', 'PUT', 'PATCH', 'DELETE']),
        path: z.string().startsWith('/'),
      }),
    )
    .default([]),
});

const callerDefinition = z.strictObject({
  name,
  team: name,
  keySha256: z.array(sha256).min(1),
  priority: z.enum(['interactive', 'standard', 'batch']).default('standard'),
  requestsPerSecond: z.number().positive(),
  concurrency: z.int().min(1),
  /** Relative share of an engine that the caller gets while requests are queued. */
  weight: z.number().positive().default(1),
  /** Model name prefixes the caller may use; `*` allows all. */
  models: z.array(z.string()).min(1).default(['*']),
  services: z.array(z.string()).default(['*']),
});

const nodeDefinition = z.strictObject({
  id: name,
  zone: name,
  region: name.default('region-1'),
  /** URL for callers. */
  url,
  /** UDP address of the membership protocol, `IP:port`. */
  gossip: z.string(),
  /** URL for JSON-RPC calls and requests forwarded by peers. */
  peerUrl: url,
  intent: z.enum(['active', 'leaving']).default('active'),
});

const tuning = z.strictObject({
  /**
   * Trade-off in choosing engines: 0 concentrates requests in full batches, 1 spreads them over emptier
   * engines, so that they stall less. Waits for adapter loads count fully in either case.
   */
  stallWeight: z.number().min(0).max(1).default(0.5),
  /** Limits of the loads from the weight store, over all nodes together. */
  weightStoreLoadsPerSecond: z.number().positive().default(2),
  weightStoreConcurrency: z.int().min(1).default(2),
  queueLimitPerEngine: z.int().min(1).default(512),
  /** How long callers may use a directory response. */
  directoryTtlSeconds: z.number().min(1).default(5),
  maxBodyBytes: z.int().min(1024).default(1_048_576),
  defaultDeadlineMs: z.int().min(100).default(60_000),
});

export const configurationSchema = z.strictObject({
  bases: z.array(baseModel).min(1),
  adapters: z.array(adapterDefinition),
  engines: z.array(engineDefinition),
  services: z.array(serviceDefinition).default([]),
  callers: z.array(callerDefinition),
  nodes: z.array(nodeDefinition).default([]),
  /** Back-end machines that are being removed and get no new work. */
  leavingMachines: z.array(name).default([]),
  tuning: tuning.prefault({}),
});

export type Configuration = z.infer<typeof configurationSchema>;
export type BaseModel = Configuration['bases'][number];
export type AdapterDefinition = Configuration['adapters'][number];
export type EngineDefinition = Configuration['engines'][number];
export type ServiceDefinition = Configuration['services'][number];
export type CallerDefinition = Configuration['callers'][number];
export type NodeDefinition = Configuration['nodes'][number];
export type Tuning = Configuration['tuning'];

/** Values used where a document does not set tuning. */
export const DEFAULT_TUNING: Tuning = tuning.parse({});
