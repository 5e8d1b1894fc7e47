import type { VirtualClock } from '@canvasridge/clock';

const STEP_MS = 5;
const READ_MS_PER_TOKEN = 0.035;
const CHUNK_TOKENS = 1000;
const STEPS_PER_EVENT = 8;

interface RunningStream {
  unreadTokens: number;
  steps: number;
  readonly events: number;
  readonly onEvent: (event: number) => void;
}

/** Decodes streams step by step and reads one chunk of a prompt between two steps, as an engine with chunked prefill does. */
export class SimulatedBatch {
  readonly #clock: VirtualClock;
  readonly #paceAt: (nowMs: number) => number;
  readonly #streams = new Set<RunningStream>();
  #isStepping = false;

  /** @param paceAt factor by which everything takes longer at that time */
  constructor(clock: VirtualClock, paceAt: (nowMs: number) => number) {
    this.#clock = clock;
    this.#paceAt = paceAt;
  }

  get running(): number {
    return this.#streams.size;
  }

  /** Runs a request. `onEvent` is called with the number of each event, from 1. */
  run(promptTokens: number, events: number, onEvent: (event: number) => void): void {
    this.#streams.add({ unreadTokens: promptTokens, steps: 0, events, onEvent });
    if (!this.#isStepping) this.#step();
  }

  #step(): void {
    this.#isStepping = this.#streams.size > 0;
    if (!this.#isStepping) return;
    const unread = [...this.#streams].find(({ unreadTokens }) => unreadTokens > 0);
    const chunk = Math.min(unread?.unreadTokens ?? 0, CHUNK_TOKENS);
    if (unread !== undefined) unread.unreadTokens -= chunk;
    const stepMs = (STEP_MS + chunk * READ_MS_PER_TOKEN) * this.#paceAt(this.#clock.now());
    this.#clock.setTimer(stepMs, () => {
      for (const stream of this.#streams) this.#decode(stream);
      this.#step();
    });
  }

  #decode(stream: RunningStream): void {
    if (stream.unreadTokens > 0) return;
    stream.steps += 1;
    if (stream.steps % STEPS_PER_EVENT !== 0) return;
    const event = stream.steps / STEPS_PER_EVENT;
    if (event === stream.events) this.#streams.delete(stream);
    stream.onEvent(event);
  }
}
