import type { EngineSlots } from './engine-slots.js';
import type { ProcessedPrompt } from './prompt-backlog.js';
import { PromptTimes } from './prompt-times.js';
import type { StreamProgress } from './slot-request.js';
import type { StreamKinds } from './stream-kinds.js';

/** Learns the pace of engines from the prompts that they read and from the streams that ended on them. */
export class PaceLearner {
  readonly #kinds: StreamKinds;
  readonly #promptTimes = new PromptTimes();

  constructor(kinds: StreamKinds) {
    this.#kinds = kinds;
  }

  /** Records that the first event of a request arrived, which shows that its prompt was processed. */
  recordProcessed(slots: EngineSlots, requestId: string, nowMs: number): void {
    const processed = slots.backlog.recordProcessed(requestId, nowMs);
    if (processed !== undefined) this.#recordPrompt(slots, processed, nowMs);
  }

  #recordPrompt(slots: EngineSlots, { tokens, prefillMs, wasQueued }: ProcessedPrompt, nowMs: number): void {
    // The time of a queued prompt shows only in part when the engine began it.
    if (wasQueued) return;
    const expectedMs = this.#promptTimes.expectedMs(tokens);
    this.#promptTimes.observe(tokens, prefillMs);
    if (expectedMs !== undefined) slots.pace.observe(prefillMs, expectedMs, nowMs);
  }

  /** Records the events of a stream of this kind that ran on an engine. */
  recordStream(slots: EngineSlots, kind: string, progress: StreamProgress, nowMs: number): void {
    const eventMs = this.#kinds.eventMs(kind);
    this.#kinds.observe(kind, progress);
    if (eventMs !== undefined) slots.pace.observe(progress.spanMs, eventMs * progress.events, nowMs);
  }
}
