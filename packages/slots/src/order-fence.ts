/**
 * A fence is count * 2^32 + term * 2^14 + holder number. With 32 bits below the count, counts up to 2^21 stay exact
 * in a double.
 */
const COUNT_MULTIPLIER = 2 ** 32;
/** The holder number takes the lowest 14 bits. It only decides between two leaders elected in the same second. */
const TERM_MULTIPLIER = 2 ** 14;
/**
 * Terms are leadership claim times in seconds, so with 18 bits they wrap around after three days. A fence can fall only
 * if a holder none of whose orders were counted leads just before the wrap and the next holder leads after it.
 */
const TERM_MODULUS = COUNT_MULTIPLIER / TERM_MULTIPLIER;
/**
 * How far a new holder's first fence is above the engine's order count. An order that changes nothing raises the
 * highest fence the engine has seen but not its count, so the previous holder's fence can be any value that starts with
 * the current count.
 */
const FIRST_FENCE_LEAD = 1;

/**
 * Generates the fencing tokens ("fences") of one holder's orders to one engine. A fence consists, from high to low bits,
 * of the engine's order count, the leadership term and the holder's number. It rises with each counted order, and no two
 * holders use the same one.
 *
 * A new holder starts one count higher, because orders that change nothing are not counted but do carry a fence. If all
 * of this holder's orders change nothing, the next holder's higher term keeps its fences above this one's.
 */
export class OrderFence {
  readonly #holderNumber: number;
  readonly #term: () => number;
  #highest = 0;

  constructor(holderNumber: number, term: () => number) {
    this.#holderNumber = holderNumber;
    this.#term = term;
  }

  /** Starts a new tenure as holder of an engine that reports this order count. */
  startAt(count: number): void {
    this.raiseTo(count + FIRST_FENCE_LEAD);
  }

  /** Returns the fence for an order that expects this count. Never lower than the previous one. */
  raiseTo(count: number): number {
    const holderPart =
      (this.#term() % TERM_MODULUS) * TERM_MULTIPLIER + (this.#holderNumber % TERM_MULTIPLIER);
    this.#highest = Math.max(this.#highest, count * COUNT_MULTIPLIER + holderPart);
    return this.#highest;
  }

  /** Skips ahead after the engine rejected the last fence because it had seen a higher one. */
  raise(): void {
    this.#highest += COUNT_MULTIPLIER;
  }
}
