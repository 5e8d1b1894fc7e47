import { createHash } from 'node:crypto';

const HASH_BYTES = 6;
const MODULUS = 2 ** (8 * HASH_BYTES);

/**
 * A number that tells whether two sets of entries are the same, in whichever order and by whichever steps they came
 * about: the sum of the entries' hashes, modulo 2^48. Kept up to date entry by entry.
 */
export class SetDigest {
  readonly #hashes = new Map<string, number>();
  #value = 0;

  get value(): number {
    return this.#value;
  }

  /** Adds an entry, or takes its new content in place of the old one. */
  put(key: string, content: string): void {
    this.delete(key);
    const hash = createHash('sha1').update(key).update('\0').update(content).digest();
    const number = hash.readUIntBE(0, HASH_BYTES);
    this.#hashes.set(key, number);
    this.#value = (this.#value + number) % MODULUS;
  }

  delete(key: string): void {
    const number = this.#hashes.get(key);
    if (number === undefined) return;
    this.#hashes.delete(key);
    this.#value = (this.#value - number + MODULUS) % MODULUS;
  }
}
