import { PrefillSpeed } from './prefill-speed.js';

/** Part of a prompt's time that goes to its way there and back, in ms: two links, one step of the engine. */
const TRANSIT_MS = 10;
/** A home for an adapter is chosen for some seconds, so engines are compared by what they got over about as long. */
const RECENT_HALF_LIFE_MS = 1500;
/** How much slower than its known speed an engine that shows nothing is taken to be, at the most. */
const MAX_STALL_FACTOR = 6;

/**
 * Prompts that were sent to one engine and of which no event has come back. What an engine has yet to read is
 * counted from what was seen, so a wrong guess of its speed ends with the prompts that it was made for.
 */
export class PromptBacklog {
  readonly speed: PrefillSpeed;
  readonly #pending = new Map<string, number>();
  #tokens = 0;
  /** Reading time of the prompts that were sent of late, each of which counts half after {@link RECENT_HALF_LIFE_MS}. */
  #recentWorkMs = 0;
  #recentAtMs = 0;
  /** When the engine last showed that it had read a prompt, or got its first one after a rest. */
  #progressMs = 0;

  constructor(poolSpeed: PrefillSpeed | undefined) {
    this.speed = new PrefillSpeed(poolSpeed);
  }

  /** Tokens that are not known to be read. */
  get tokens(): number {
    return this.#tokens;
  }

  add(requestId: string, tokens: number, nowMs: number): void {
    if (this.#pending.size === 0) this.#progressMs = nowMs + TRANSIT_MS;
    this.#pending.set(requestId, tokens);
    this.#tokens += tokens;
    this.#recentWorkMs = this.recentWorkMs(nowMs) + this.prefillMs(tokens);
    this.#recentAtMs = nowMs;
  }

  /** How much the engine was given to read of late, in milliseconds of its time: the backlog without its chance. */
  recentWorkMs(nowMs: number): number {
    return this.#recentWorkMs * 0.5 ** ((nowMs - this.#recentAtMs) / RECENT_HALF_LIFE_MS);
  }

  /** The first event of a request came back, so its prompt was read. */
  recordRead(requestId: string, nowMs: number): void {
    const tokens = this.#take(requestId);
    if (tokens === undefined) return;
    this.speed.observe(tokens, Math.max(nowMs - this.#progressMs, 0));
    this.#progressMs = Math.max(nowMs, this.#progressMs);
  }

  /** A request ended without an event, so nothing is known of its prompt. */
  drop(requestId: string): void {
    this.#take(requestId);
  }

  /** How long until the engine has read what it was sent, in milliseconds. */
  remainingMs(nowMs: number): number {
    if (this.#pending.size === 0) return 0;
    const expectedMs = this.prefillMs(this.#tokens);
    const stalledMs = Math.max(nowMs - this.#progressMs, 0);
    const perPromptMs = expectedMs / this.#pending.size;
    if (stalledMs <= perPromptMs) return expectedMs - stalledMs;
    // Nothing was read for longer than one prompt takes: it is slower than it was, or stands still.
    return expectedMs * Math.min(stalledMs / perPromptMs, MAX_STALL_FACTOR);
  }

  /** How long a prompt of this length takes to be read. */
  prefillMs(tokens: number): number {
    return tokens * this.speed.msPerToken;
  }

  #take(requestId: string): number | undefined {
    const tokens = this.#pending.get(requestId);
    if (tokens === undefined) return undefined;
    this.#pending.delete(requestId);
    this.#tokens -= tokens;
    return tokens;
  }
}
