import type { Clock } from '@canvasridge/clock';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';

export interface AnswerCheckOptions {
  readonly clock: Clock;
  /** Calls back after a delay, unless the pool is closed by then. */
  readonly after: (delayMs: number, action: () => void) => void;
  /**
   * Asks the engine for a report, and another engine if it does not answer. Resolves to whether it
   * answered, or to undefined if neither did: then this node may be the one that is cut off.
   */
  readonly ask: () => Promise<boolean | undefined>;
  /** Whether the engine is on the published list. */
  readonly isListed: () => boolean;
  /** Called when `isAnswering` has changed. */
  readonly onChange: (isAnswering: boolean) => void;
  readonly telemetry: Pick<Telemetry, 'event'>;
}

/** Pause between two questions while the engine does not answer. */
const POLL_MS = 700;
/** An engine that answered the question is not asked again for this time, however many requests fail there. */
const ANSWER_VALID_MS = 1000;
/**
 * An engine is withheld from requests for this long after a failure there. Only this node asks it, and may be the only one
 * that can't reach it. The entry of an engine that crashed leaves the published list sooner.
 */
const MAX_WITHHELD_MS = 8000;

/**
 * Finds out whether an engine at which a request failed still answers. An engine that crashed stays on the published list
 * for seconds, and refuses or ignores whatever is sent to it.
 */
export class AnswerCheck {
  readonly #options: AnswerCheckOptions;
  #isAnswering = true;
  #isAsking = false;
  /** When the last answered question was asked, and when the engine last answered a request. */
  #answeredQuestionMs = -Infinity;
  #answeredRequestMs = -Infinity;
  #failedMs = -Infinity;

  constructor(options: AnswerCheckOptions) {
    this.#options = options;
  }

  /** False from a question without an answer after a failed request, until the engine is seen to answer again. */
  get isAnswering(): boolean {
    return this.#isAnswering;
  }

  /** When the engine was last seen to answer; -Infinity if it never was. */
  get lastAnsweredMs(): number {
    return Math.max(this.#answeredQuestionMs, this.#answeredRequestMs);
  }

  /** Call it when a request failed at the engine. */
  requestFailed(): void {
    const nowMs = this.#options.clock.now();
    this.#failedMs = nowMs;
    if (this.#isAsking || nowMs - this.#answeredQuestionMs < ANSWER_VALID_MS) return;
    this.#isAsking = true;
    this.#startAsking();
  }

  /** Call it when the engine has answered a request. */
  answered(): void {
    this.#answeredRequestMs = this.#options.clock.now();
    this.#set(true);
  }

  #startAsking(): void {
    runInBackground(this.#options.telemetry, 'answer-check', async () => {
      let mustAskAgain = false;
      try {
        mustAskAgain = await this.#ask();
      } finally {
        if (!mustAskAgain) this.#end();
      }
      if (mustAskAgain) this.#options.after(POLL_MS, () => this.#startAsking());
    });
  }

  /** Resolves to whether the engine has to be asked again. */
  async #ask(): Promise<boolean> {
    const { clock, ask, isListed } = this.#options;
    const askedMs = clock.now();
    const isAnswered = await ask();
    if (isAnswered === true) this.#answeredQuestionMs = askedMs;
    this.#set(isAnswered !== false || this.#answeredRequestMs >= askedMs);
    const isOverdue = clock.now() - this.#failedMs >= MAX_WITHHELD_MS;
    return !this.#isAnswering && !isOverdue && isListed();
  }

  #end(): void {
    this.#isAsking = false;
    this.#set(true);
  }

  #set(isAnswering: boolean): void {
    if (isAnswering === this.#isAnswering) return;
    this.#isAnswering = isAnswering;
    this.#options.onChange(isAnswering);
  }
}
