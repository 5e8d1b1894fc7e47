import type { Random } from '@canvasridge/clock';

/** Samples ranks 0 to count-1 with probability proportional to 1 / (rank + 1) ** exponent. */
export class Zipf {
  readonly #cumulative: Float64Array;

  constructor(count: number, exponent: number) {
    this.#cumulative = new Float64Array(count);
    let sum = 0;
    for (let rank = 0; rank < count; rank += 1) {
      sum += 1 / (rank + 1) ** exponent;
      this.#cumulative[rank] = sum;
    }
    for (let rank = 0; rank < count; rank += 1) this.#cumulative[rank] = (this.#cumulative[rank] ?? 0) / sum;
  }

  sample(random: Random): number {
    const target = random.next();
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#cumulative[middle] ?? 1) < target) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
