import { PrefillSpeed } from './prefill-speed.js';

/** Part of a request's time to first event that is not prefill, in ms: two network hops and one step of the engine. */
const TRANSIT_MS = 10;
/** An adapter stays on an engine for some seconds, so engines are compared by the work they received in a similar time. */
const RECENT_HALF_LIFE_MS = 1500;
/** Span over which recent work is summed: at a steady rate it is the work of this time. */
export const RECENT_WORK_SPAN_MS = RECENT_HALF_LIFE_MS / Math.LN2;
/** Maximum factor by which a silent engine is assumed to be slower than its learnt speed. */
const MAX_STALL_FACTOR = 6;

interface PendingPrompt {
  readonly tokens: number;
  /** Whether other prompts were pending when it was sent. */
  readonly wasQueued: boolean;
}

/** A prompt that an engine processed, and how long it took. */
export interface ProcessedPrompt extends PendingPrompt {
  readonly prefillMs: number;
}

/**
 * Tracks the prompts that were sent to one engine and have not returned an event yet. The backlog is computed from these
 * prompts only, so a wrong estimate of the engine's speed has no effect beyond them.
 */
export class PromptBacklog {
  readonly speed: PrefillSpeed;
  readonly #pending = new Map<string, PendingPrompt>();
  #tokens = 0;
  /** Prefill time of the recently sent prompts, with a half-life of {@link RECENT_HALF_LIFE_MS}. */
  #recentWorkMs = 0;
  #recentAtMs = 0;
  /** When the engine last finished a prompt, or got its first one after being idle. */
  #progressMs = 0;

  constructor(poolSpeed: PrefillSpeed | undefined) {
    this.speed = new PrefillSpeed(poolSpeed);
  }

  /** Total prompt tokens that are not known to be processed. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Records that a request was sent to the engine. */
  add(requestId: string, tokens: number, nowMs: number): void {
    if (this.#pending.size === 0) this.#progressMs = nowMs + TRANSIT_MS;
    this.#pending.set(requestId, { tokens, wasQueued: this.#pending.size > 0 });
    this.#tokens += tokens;
    this.#recentWorkMs = this.recentWorkMs(nowMs) + this.prefillMs(tokens);
    this.#recentAtMs = nowMs;
  }

  /** Prefill work recently sent to the engine, in milliseconds. It fluctuates less than the current backlog. */
  recentWorkMs(nowMs: number): number {
    return this.#recentWorkMs * 0.5 ** ((nowMs - this.#recentAtMs) / RECENT_HALF_LIFE_MS);
  }

  /**
   * Records that the first event of a request arrived, which shows that its prompt was processed. Returns what that tells;
   * undefined if the prompt was not pending.
   */
  recordProcessed(requestId: string, nowMs: number): ProcessedPrompt | undefined {
    const prompt = this.#take(requestId);
    if (prompt === undefined) return undefined;
    const prefillMs = Math.max(nowMs - this.#progressMs, 0);
    this.speed.observe(prompt.tokens, prefillMs);
    this.#progressMs = Math.max(nowMs, this.#progressMs);
    return { ...prompt, prefillMs };
  }

  /** Records that a request ended without an event, which tells nothing about its prompt. */
  drop(requestId: string): void {
    this.#take(requestId);
  }

  /** Estimated time until the engine has processed all prompts sent to it, in milliseconds. */
  remainingMs(nowMs: number): number {
    if (this.#pending.size === 0) return 0;
    const expectedMs = this.prefillMs(this.#tokens);
    const stalledMs = Math.max(nowMs - this.#progressMs, 0);
    const perPromptMs = expectedMs / this.#pending.size;
    if (stalledMs <= perPromptMs) return expectedMs - stalledMs;
    // No prompt was finished for longer than one should take: the engine has become slower or is stalled.
    return expectedMs * Math.min(stalledMs / perPromptMs, MAX_STALL_FACTOR);
  }

  /** Estimated prefill time of a prompt of this length, in milliseconds. */
  prefillMs(tokens: number): number {
    return tokens * this.speed.msPerToken;
  }

  #take(requestId: string): PendingPrompt | undefined {
    const prompt = this.#pending.get(requestId);
    if (prompt === undefined) return undefined;
    this.#pending.delete(requestId);
    this.#tokens -= prompt.tokens;
    return prompt;
  }
}
