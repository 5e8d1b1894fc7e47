/** Room for the part of a fence below the count: the term, then the holder's number. Counts up to 2^21 stay exact. */
const COUNT_MULTIPLIER = 2 ** 32;
/** Room for the holder's number, which matters only between two leaders of the same second. */
const TERM_MULTIPLIER = 2 ** 14;
/**
 * Terms are times of claims in seconds, so they begin anew after three days: a fence can fall only where a holder whose orders
 * were never counted leads on one side of that moment and the next one on the other.
 */
const TERM_MODULUS = COUNT_MULTIPLIER / TERM_MULTIPLIER;
/**
 * How many counts above the engine's a new holder's first fence stands. An order that changes nothing raises the fence
 * that the engine saw but not its count, so the fence of the holder before can lie anywhere within the count's own range.
 */
const FIRST_FENCE_LEAD = 1;

/**
 * The fence of one holder's orders to one engine: the engine's count of orders, below it the term, below that the holder's
 * number. It rises with each order taken, and no two holders ever use the same. A new holder starts a count higher, since orders
 * that change nothing are not counted but have fences, too. If its own first orders are of that kind, it is the term
 * that keeps the fence of the next one above its own.
 */
export class OrderFence {
  readonly #holderNumber: number;
  readonly #term: () => number;
  #highest = 0;

  constructor(holderNumber: number, term: () => number) {
    this.#holderNumber = holderNumber;
    this.#term = term;
  }

  /** This node becomes holder of an engine with this count. */
  startAt(count: number): void {
    this.raiseTo(count + FIRST_FENCE_LEAD);
  }

  /** The fence for an order that expects a count; it never falls. */
  raiseTo(count: number): number {
    const holderPart =
      (this.#term() % TERM_MODULUS) * TERM_MULTIPLIER + (this.#holderNumber % TERM_MULTIPLIER);
    this.#highest = Math.max(this.#highest, count * COUNT_MULTIPLIER + holderPart);
    return this.#highest;
  }

  /** The engine saw a higher fence than the last one. */
  raise(): void {
    this.#highest += COUNT_MULTIPLIER;
  }
}
