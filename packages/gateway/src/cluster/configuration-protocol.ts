/**
 * Schemas of the messages by which nodes transfer configurations, and of the configuration itself. A node of a later
 * build may add fields, which are ignored; one of an earlier build may leave out optional ones.
 */
import type {
  BackendService,
  EngineProfile,
  HttpRoute,
  ModelProfile,
  RequestLimits,
  ServingConfiguration,
  Tenant,
  TenantQuota,
} from '@canvasridge/serving';
import * as z from 'zod';
import { firstProblem, type FieldProblem } from '../peers/unread-log.js';
import { listOf } from '../peers/list-of.js';

const MAX_DIGEST_LENGTH = 64;
/** With compression, no configuration that the publishing store accepts is larger. */
const MAX_PACKED_BYTES = 16 * 1024 * 1024;

/** A schema for each field, so that none is forgotten. */
type FieldsOf<T> = Readonly<Record<keyof T, z.ZodType>>;

const version = z.number();
const digest = z.string().max(MAX_DIGEST_LENGTH);
const offset = z.int().min(0).max(MAX_PACKED_BYTES);

/** See `PartRequest`. */
export const partRequest = z.object({ above: version, digest: digest.exactOptional(), offset });

/** See `PartReply`. */
export const partReply = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('part'), version, digest, totalBytes: offset, offset, data: z.string() }),
  z.object({ kind: z.literal('busy') }),
  z.object({ kind: z.literal('none') }),
]);

const route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(['idempotent', 'at-most-once', 'stream']),
  services: listOf(z.object({ service: z.string(), weight: z.number() })),
  timeoutMs: z.number(),
  patienceMs: z.number().optional(),
  objectiveMs: z.number(),
  gapObjectiveMs: z.number().optional(),
  priority: z.number(),
  attempts: z.number(),
  resumable: z.boolean(),
  isPublic: z.boolean(),
} satisfies FieldsOf<HttpRoute>);

const model = z.object({
  name: z.string(),
  sizeMb: z.number(),
  adapterMb: z.number(),
} satisfies FieldsOf<ModelProfile>);

const engine = z.object({
  models: listOf(model),
  adapterSlots: z.number(),
  memoryMb: z.number(),
  batchSlots: z.number(),
  storeLoadsPerSecond: z.number(),
} satisfies FieldsOf<EngineProfile>);

const service = z.object({
  name: z.string(),
  maxConnections: z.number(),
  engine: engine.optional(),
} satisfies FieldsOf<BackendService>);

const limits = z.object({
  maxHeaderBytes: z.number().min(0),
  maxBodyBytes: z.number().min(0),
  headerTimeoutMs: z.number().min(0),
  idleTimeoutMs: z.number().min(0),
} satisfies FieldsOf<RequestLimits>);

const quota = z.object({
  unit: z.enum(['requests', 'tokens']),
  ratePerSecond: z.number(),
  burst: z.number(),
  plainTokens: z.number(),
} satisfies FieldsOf<TenantQuota>);

const tenant = z.object({
  name: z.string(),
  keys: listOf(z.string()),
  priority: z.number().optional(),
  quota: quota.optional(),
  problem: z.string().optional(),
} satisfies FieldsOf<Tenant>);

const configuration = z.object({
  version,
  routes: listOf(route),
  services: listOf(service),
  limits,
  // With one tenant left out its keys would be refused and its quota lifted.
  tenants: listOf(tenant).optional(),
} satisfies FieldsOf<ServingConfiguration>);

/**
 * Undefined for a valid configuration. It is used as it was sent: fields of later builds, which have no meaning here, are
 * passed on to nodes that may know them.
 */
export function configurationProblem(value: unknown): FieldProblem | undefined {
  const { error } = configuration.safeParse(value);
  return error === undefined ? undefined : firstProblem(error);
}
