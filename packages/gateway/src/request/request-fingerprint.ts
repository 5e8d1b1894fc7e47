import { createHash } from 'node:crypto';

/** 96 bits: too many for accidental collisions between requests, and for collisions made on purpose. */
const FINGERPRINT_BYTES = 12;
/**
 * Separates the parts, so that different parts never give the same bytes: none of the first three can
 * contain it.
 */
const SEPARATOR = '\n';

/**
 * The parts of a request that stay the same when its caller sends it again, under a new attempt id and to
 * any node.
 */
export interface FingerprintParts {
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** The tenant of the request; undefined if it has none. */
  readonly tenant: string | undefined;
  readonly body: Buffer;
}

/** Hash that is equal for repeated sends of a request. It reveals neither the path nor the body. */
export function requestFingerprint({ host, target, tenant, body }: FingerprintParts): string {
  const hash = createHash('sha256');
  hash.update([host.toLowerCase(), target, tenant ?? ''].join(SEPARATOR) + SEPARATOR);
  hash.update(body);
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64url');
}
