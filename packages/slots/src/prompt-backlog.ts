import { ReadingSpeed } from './reading-speed.js';

/** Part of a prompt's time that goes to its way there and back, in ms: two links, one step of the engine. */
const TRANSIT_MS = 10;
/** A home for an adapter is chosen for some seconds, so engines are compared by what they got over about as long. */
const RECENT_HALF_LIFE_MS = 1500;
/** How much slower than its known speed an engine that shows nothing is taken to be, at the most. */
const MOST_STALL = 6;

/**
 * Prompts that were sent to one engine and of which no event has come back. What an engine has yet to read is
 * counted from what was seen, so a wrong guess of its speed ends with the prompts that it was made for.
 */
export class PromptBacklog {
  readonly speed: ReadingSpeed;
  readonly #unread = new Map<string, number>();
  #tokens = 0;
  /** Reading time of the prompts that were sent of late, each of which counts half after {@link RECENT_HALF_LIFE_MS}. */
  #recentMs = 0;
  #recentAtMs = 0;
  /** When the engine last showed that it had read a prompt, or got its first one after a rest. */
  #progressMs = 0;

  constructor(fellows: ReadingSpeed | undefined) {
    this.speed = new ReadingSpeed(fellows);
  }

  /** Tokens that are not known to be read. */
  get tokens(): number {
    return this.#tokens;
  }

  sent(requestId: string, tokens: number, nowMs: number): void {
    if (this.#unread.size === 0) this.#progressMs = nowMs + TRANSIT_MS;
    this.#unread.set(requestId, tokens);
    this.#tokens += tokens;
    this.#recentMs = this.recentMs(nowMs) + this.readMs(tokens);
    this.#recentAtMs = nowMs;
  }

  /** How much the engine was given to read of late, in milliseconds of its time: the backlog without its chance. */
  recentMs(nowMs: number): number {
    return this.#recentMs * 0.5 ** ((nowMs - this.#recentAtMs) / RECENT_HALF_LIFE_MS);
  }

  /** The first event of a request came back, so its prompt was read. */
  read(requestId: string, nowMs: number): void {
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
  aheadMs(nowMs: number): number {
    if (this.#unread.size === 0) return 0;
    const expectedMs = this.readMs(this.#tokens);
    const quietMs = Math.max(nowMs - this.#progressMs, 0);
    const oneMs = expectedMs / this.#unread.size;
    if (quietMs <= oneMs) return expectedMs - quietMs;
    // Nothing was read for longer than one prompt takes: it is slower than it was, or stands still.
    return expectedMs * Math.min(quietMs / oneMs, MOST_STALL);
  }

  /** How long a prompt of this length takes to be read. */
  readMs(tokens: number): number {
    return tokens * this.speed.msPerToken;
  }

  #take(requestId: string): number | undefined {
    const tokens = this.#unread.get(requestId);
    if (tokens === undefined) return undefined;
    this.#unread.delete(requestId);
    this.#tokens -= tokens;
    return tokens;
  }
}
