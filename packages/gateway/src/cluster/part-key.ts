import { createHash } from 'node:crypto';

/** Tells keys of parts from fingerprints of requests, which have no full stop. */
const PREFIX = 'part.';
/** Longer names are hashed, so that a list of keys fits into one datagram. */
const MAX_NAME_LENGTH = 16;

/** The key by which a part of a prompt is quarantined, as a request is by its fingerprint. */
export function partKey(part: string): string {
  if (part.length <= MAX_NAME_LENGTH) return PREFIX + part;
  const digest = createHash('sha256').update(part).digest('hex');
  // Upper case: names of parts are in lower case.
  return PREFIX + digest.slice(0, MAX_NAME_LENGTH).toUpperCase();
}
