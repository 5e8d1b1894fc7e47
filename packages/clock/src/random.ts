import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Number of different values that `next` can return. */
const FRACTION_STEPS = 0x7fffffff;

/** 32-bit FNV-1a hash of a text, for deriving seeds. */
export function hashSeed(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** Seeded stream of random numbers. The same seed gives the same numbers on every machine. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an independent stream for the use called `name`. */
  static derive(seed: number, name: string): Random {
    return new Random(hashSeed(`${seed}/${name}`));
  }

  /** Uniform in [0, 1). */
  next(): number {
    return uniformInt(this.#generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** Uniform integer in [0, limit). */
  integer(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  /** Exponentially distributed with the given mean, like the intervals of a Poisson process. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** A random element, or undefined if the list is empty. */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.integer(items.length)];
  }

  /** A shuffled copy (Fisher–Yates). */
  shuffle<T>(items: readonly T[]): T[] {
    const copy = [...items];
    for (let index = copy.length - 1; index > 0; index -= 1) {
      const other = this.integer(index + 1);
      const held = copy[index] as T;
      copy[index] = copy[other] as T;
      copy[other] = held;
    }
    return copy;
  }
}
