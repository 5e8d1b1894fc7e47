import { createHash } from 'node:crypto';

/** Most that `readUIntBE` can read. A number holds the sum of two such hashes exactly. */
const HASH_BYTES = 6;
const MODULUS = 2 ** (8 * HASH_BYTES);

/**
 * Digest of a set of entries that does not depend on the order in which they were added, changed and removed:
 * the sum of the entries' hashes modulo 2^48. It is updated incrementally with each entry.
 */
export class SetDigest {
  readonly #hashes = new Map<string, number>();
  #value = 0;

  get value(): number {
    return this.#value;
  }

  /** The value after these entries, by key, are added or replaced. */
  valueWith(contents: ReadonlyMap<string, string>): number {
    let value = this.#value;
    for (const [key, content] of contents)
      value = (value + hashOf(key, content) - (this.#hashes.get(key) ?? 0) + MODULUS) % MODULUS;
    return value;
  }

  /** Adds an entry or replaces its content. */
  put(key: string, content: string): void {
    this.delete(key);
    const entryHash = hashOf(key, content);
    this.#hashes.set(key, entryHash);
    this.#value = (this.#value + entryHash) % MODULUS;
  }

  delete(key: string): void {
    const entryHash = this.#hashes.get(key);
    if (entryHash === undefined) return;
    this.#hashes.delete(key);
    this.#value = (this.#value - entryHash + MODULUS) % MODULUS;
  }
}

function hashOf(key: string, content: string): number {
  const hash = createHash('sha1').update(key).update('\0').update(content).digest();
  return hash.readUIntBE(0, HASH_BYTES);
}
