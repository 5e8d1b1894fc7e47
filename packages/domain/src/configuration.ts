import * as z from 'zod';

/**
 * The configuration document: what operators want served. Engines, services and nodes are named with
 * their addresses, because nothing else tells them; the machine list says which machines are up.
 */
const name = z.string().regex(/^[\w.-]{1,64}$/, 'expected 1 to 64 letters, digits, ".", "_" or "-"');
const url = z.url({ protocol: /^https?$/, error: 'expected a URL such as "http://10.0.0.5:9000"' });
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest of 64 lower-case hex digits');

const baseModel = z.strictObject({ name });

const adapterDefinition = z.strictObject({
  name: z.string().regex(/^[\w./-]{1,128}$/, 'expected 1 to 128 letters, digits, ".", "_", "/" or "-"'),
  base: name,
  /** Served versions, newest last. */
  versions: z.array(z.string().regex(/^[\w.-]{1,64}$/)).min(1),
  /** Adapters that tend to wake together, such as the adapters of one match. */
  group: name.optional(),
  /** Engines that hold this adapter even while it is idle. */
  pinnedReplicas: z.int().min(0).max(16).optional(),
});

const engineDefinition = z.strictObject({
  id: name,
  url,
  base: name,
  zone: name,
  machine: name.optional(),
  slots: z.int().min(1).max(1024),
  maxBatch: z.int().min(1).max(4096),
  /** Whether the engine refuses orders and requests with an old fence. */
  checksFence: z.boolean().default(true),
});

const serviceDefinition = z.strictObject({
  name,
  backEnds: z.array(z.strictObject({ url, zone: name, machine: name.optional() })).min(1),
  /** Calls that may run at most once. */
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
  /** Share among callers when engines are full. */
  weight: z.number().positive().default(1),
  /** Model name prefixes the caller may use; `*` allows all. */
  models: z.array(z.string()).min(1).default(['*']),
  services: z.array(z.string()).default(['*']),
});

const nodeDefinition = z.strictObject({
  id: name,
  zone: name,
  region: name.default('region-1'),
  /** Where callers connect. */
  url,
  /** UDP address of the membership protocol, `IP:port`. */
  gossip: z.string(),
  /** Where peers send JSON-RPC and forwarded requests. */
  peerUrl: url,
  intent: z.enum(['active', 'leaving']).default('active'),
});

const tuning = z.strictObject({
  /** 0 prefers full batches, 1 prefers short load stalls. */
  stallWeight: z.number().min(0).max(1).default(0.5),
  weightStoreLoadsPerSecond: z.number().positive().default(2),
  weightStoreConcurrency: z.int().min(1).default(2),
  queueLimitPerEngine: z.int().min(1).default(512),
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
  /** Machines of back ends that are leaving: they get no new work. */
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

/** Tuning where a document sets none. */
export const DEFAULT_TUNING: Tuning = tuning.parse({});
