/** The streams that run on an engine and have an objective for the pauses between their events. */
export class RunningStreams {
  /** Number of streams by objective, in milliseconds. */
  readonly #byGapMs = new Map<number, number>();
  #count = 0;

  get count(): number {
    return this.#count;
  }

  /** The shortest objective, in milliseconds; Infinity if no stream runs. */
  get shortestGapMs(): number {
    return Math.min(...this.#byGapMs.keys());
  }

  /** @param gapMs the stream's objective in milliseconds; undefined if it has none, which changes nothing */
  add(gapMs: number | undefined): void {
    if (gapMs === undefined) return;
    this.#count += 1;
    this.#byGapMs.set(gapMs, (this.#byGapMs.get(gapMs) ?? 0) + 1);
  }

  remove(gapMs: number | undefined): void {
    const known = gapMs === undefined ? undefined : this.#byGapMs.get(gapMs);
    if (gapMs === undefined || known === undefined) return;
    this.#count -= 1;
    if (known === 1) this.#byGapMs.delete(gapMs);
    else this.#byGapMs.set(gapMs, known - 1);
  }
}
