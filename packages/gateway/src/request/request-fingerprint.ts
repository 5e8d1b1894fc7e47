import { createHash } from 'node:crypto';

/** 96 bits: two requests that differ have the same one by no chance that matters, and none can be made to. */
const FINGERPRINT_BYTES = 12;
/** Stands between the parts, so that no two lists of parts give the same bytes: none of the first three can hold it. */
const SEPARATOR = '\n';

/** What stays the same when a caller sends a request again, in an attempt with an id of its own and to any node. */
export interface RepeatedParts {
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** The tenant for whom it runs; undefined where requests run for nobody in particular. */
  readonly tenant: string | undefined;
  readonly body: Buffer;
}

/** The same text for a request that is sent again; neither path nor body can be told from it. */
export function requestFingerprint({ host, target, tenant, body }: RepeatedParts): string {
  const hash = createHash('sha256');
  hash.update([host.toLowerCase(), target, tenant ?? ''].join(SEPARATOR) + SEPARATOR);
  hash.update(body);
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64url');
}
