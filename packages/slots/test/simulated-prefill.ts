import type { VirtualClock } from '@canvasridge/clock';

/** Processes prompts one after the other, as an engine does. */
export class SimulatedPrefill {
  readonly #clock: VirtualClock;
  #freeAtMs = 0;

  /** @param msPerToken prefill time per token; may be changed at any time */
  constructor(
    clock: VirtualClock,
    public msPerToken: number,
  ) {
    this.#clock = clock;
  }

  /** Calls back when the prompt has been processed. */
  process(tokens: number, onDone: () => void): void {
    const nowMs = this.#clock.now();
    this.#freeAtMs = Math.max(this.#freeAtMs, nowMs) + tokens * this.msPerToken;
    this.#clock.setTimer(this.#freeAtMs - nowMs, onDone);
  }
}
