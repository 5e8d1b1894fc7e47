import { createHash } from 'node:crypto';
import { configurationSchema, type AdapterDefinition, type Configuration } from '@canvasridge/domain';
import { describeIssues } from '@canvasridge/settings';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

/** Key of the head document in the configuration service. */
export const HEAD_KEY = 'canvasridge/head';

/**
 * Key of a chunk. Chunks are named by the hash of their content, so that an unchanged chunk is never read
 * again.
 */
export function chunkKey(sha256: string): string {
  return `canvasridge/chunk/${sha256}`;
}

const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/);

/** The head document: identifies one revision and lists the chunks that it consists of. */
export const headSchema = z.strictObject({
  revision: z.int().min(1),
  /** SHA-256 over the digests of the chunks. */
  digest: sha256Hex,
  previousRevision: z.int().min(0),
  previousDigest: sha256Hex,
  /**
   * Version that the configuration service assigns to this head if nothing else was published since the plan.
   * A head that was assigned another version was confirmed without knowledge of the head before it, and no
   * node accepts it.
   */
  serviceVersion: z.int().min(1),
  /** Digest of the plan that the operator confirmed. */
  planDigest: sha256Hex,
  chunks: z.array(sha256Hex).min(1).max(1024),
});

export type RevisionHead = z.infer<typeof headSchema>;

/** Predecessor named by the first revision. */
export const GENESIS = { revision: 0, digest: '0'.repeat(64) } as const;

/** Why documents do not form a valid revision. */
export type RevisionError =
  | { readonly kind: 'chunk-missing'; readonly sha256: string }
  | { readonly kind: 'chunk-damaged'; readonly sha256: string }
  | { readonly kind: 'digest-mismatch'; readonly expected: string; readonly found: string }
  | { readonly kind: 'invalid'; readonly detail: string };

/** Target size of a chunk of adapters, well below the platform's limit of one megabyte. */
const TARGET_CHUNK_BYTES = 250_000;
const ESTIMATED_ADAPTER_BYTES = 100;

export function sha256Of(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Computes the digest of a configuration from the digests of its chunks. */
function combineDigests(chunks: readonly string[]): string {
  return sha256Of(chunks.join('\n'));
}

/**
 * Computes the digest that the operator confirms: it identifies the change from one exact revision to
 * another.
 */
export function planDigest(previousRevision: number, previousDigest: string, nextDigest: string): string {
  return sha256Of(`${previousRevision}\n${previousDigest}\n${nextDigest}`);
}

/**
 * Splits a configuration into chunks; returns their texts by SHA-256. Adapters are put into buckets by the
 * hash of their name, so that changing one adapter changes one chunk. Whenever the number of buckets doubles,
 * all adapter chunks change once.
 */
export function splitConfiguration(configuration: Configuration): {
  readonly digest: string;
  readonly chunks: ReadonlyMap<string, string>;
} {
  const { adapters, ...rest } = configuration;
  const texts = [JSON.stringify({ section: 'main', content: rest })];
  for (const bucket of bucketAdapters(adapters)) {
    texts.push(JSON.stringify({ section: 'adapters', content: bucket }));
  }
  const chunks = new Map(texts.map((text) => [sha256Of(text), text]));
  return { digest: combineDigests([...chunks.keys()]), chunks };
}

function bucketAdapters(adapters: readonly AdapterDefinition[]): AdapterDefinition[][] {
  const minimumCount = Math.ceil((adapters.length * ESTIMATED_ADAPTER_BYTES) / TARGET_CHUNK_BYTES);
  const count = 2 ** Math.ceil(Math.log2(Math.max(1, minimumCount)));
  const buckets = Array.from({ length: count }, (): AdapterDefinition[] => []);
  for (const adapter of adapters) {
    const bucket = parseInt(sha256Of(`${adapter.base}:${adapter.name}`).slice(0, 8), 16) % count;
    buckets[bucket]?.push(adapter);
  }
  return buckets.filter((bucket) => bucket.length > 0);
}

const chunkSchema = z.discriminatedUnion('section', [
  z.strictObject({ section: z.literal('main'), content: z.record(z.string(), z.unknown()) }),
  z.strictObject({ section: z.literal('adapters'), content: z.array(z.unknown()) }),
]);

/** Reassembles a configuration from its chunks and verifies every digest. */
export function joinConfiguration(
  head: RevisionHead,
  chunkOf: (sha256: string) => string | undefined,
): Result<Configuration, RevisionError> {
  const found = combineDigests(head.chunks);
  if (found !== head.digest) return err({ kind: 'digest-mismatch', expected: head.digest, found });
  let document: Record<string, unknown> = {};
  const adapters: unknown[] = [];
  for (const sha256 of head.chunks) {
    const chunk = parseChunk(sha256, chunkOf(sha256));
    if (chunk.isErr()) return err(chunk.error);
    if (chunk.value.section === 'main') document = chunk.value.content;
    else adapters.push(...chunk.value.content);
  }
  const whole = { ...document, adapters };
  const checked = configurationSchema.safeParse(whole);
  if (checked.success) return ok(checked.data);
  const [issue] = describeIssues(whole, checked.error);
  return err({
    kind: 'invalid',
    detail: `${issue?.path ?? ''}: found ${issue?.found ?? ''}; ${issue?.problem ?? ''}`,
  });
}

function parseChunk(
  sha256: string,
  text: string | undefined,
): Result<z.infer<typeof chunkSchema>, RevisionError> {
  if (text === undefined) return err({ kind: 'chunk-missing', sha256 });
  if (sha256Of(text) !== sha256) return err({ kind: 'chunk-damaged', sha256 });
  const checked = chunkSchema.safeParse(JSON.parse(text));
  return checked.success ? ok(checked.data) : err({ kind: 'invalid', detail: checked.error.message });
}

/** The documents that an operator publishes for a revision, in order: first the chunks, then the head. */
export interface Publication {
  readonly head: RevisionHead;
  readonly documents: readonly { readonly key: string; readonly value: string }[];
}

/**
 * Creates the documents that publish `configuration` as the revision after `previous`.
 * @param serviceVersion current version of the head in the configuration service; 0 if there is none
 */
export function buildPublication(
  configuration: Configuration,
  previous: { readonly revision: number; readonly digest: string },
  serviceVersion: number,
): Publication {
  const { digest, chunks } = splitConfiguration(configuration);
  const head: RevisionHead = {
    revision: previous.revision + 1,
    digest,
    previousRevision: previous.revision,
    previousDigest: previous.digest,
    serviceVersion: serviceVersion + 1,
    planDigest: planDigest(previous.revision, previous.digest, digest),
    chunks: [...chunks.keys()],
  };
  const documents = [...chunks].map(([sha256, value]) => ({ key: chunkKey(sha256), value }));
  return { head, documents: [...documents, { key: HEAD_KEY, value: JSON.stringify(head) }] };
}
