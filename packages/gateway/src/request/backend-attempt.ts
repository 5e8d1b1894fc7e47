import type { Clock, Timer } from '@canvasridge/clock';
import { EventStreamTracker } from '@canvasridge/http-bindings';
import type { BackendNotice } from '@canvasridge/serving';
import type { Dispatcher } from 'undici';
import type { BackendConnection } from '../backends/backend-connection.js';
import type { AnswerSink } from './answer-sink.js';
import type { AnswerHeaders, RequestDialect } from './dialect.js';

/**
 * How one attempt at a backend ended:
 * `complete`: the whole answer was passed on; `failure`: the backend's own failure, kept back;
 * `not-run`: the request has not run there and never will; `broken`: it may have run, and its answer is not
 * whole; `cancelled`: given up here.
 */
export type AttemptOutcome =
  | { readonly kind: 'complete'; readonly status: number }
  | {
      readonly kind: 'failure';
      readonly status: number;
      readonly headers: AnswerHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'not-run'; readonly reason: NotRunReason }
  | { readonly kind: 'broken'; readonly detail: string; readonly how: BrokenHow }
  | { readonly kind: 'cancelled' };

/**
 * `connection-lost`: the backend's connection ended before its answer did, as it does when the backend ends;
 * `bad-answer`: what came is no answer to the request; `silent`: nothing came for too long.
 */
export type BrokenHow = 'connection-lost' | 'bad-answer' | 'silent';

/** What was found right before the request was written, so that nothing was sent. */
export type HeldBack =
  /** The backend leaves. */
  | 'leaving'
  /** The backend wants nothing from this node for a while. */
  | 'backing-off'
  /** Whether it leaves is not known well enough. */
  | 'old-list'
  /** The request itself may not be sent any more. */
  | 'not-allowed';

export type NotRunReason = HeldBack | 'unreachable' | 'refused' | 'not-present' | 'no-connection';

export interface AttemptOptions {
  readonly connection: BackendConnection;
  readonly dialect: RequestDialect;
  readonly clock: Clock;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly attemptId: string;
  /** Asked when the connection is ready, right before the request is written: why it is not; undefined if it is. */
  readonly heldBack: () => HeldBack | undefined;
  /** Called with what the backend says of itself, as soon as the head of its answer came. */
  readonly onNotice: (notice: BackendNotice) => void;
  /** Called whenever the backend sent something. */
  readonly onHeard: () => void;
  /** Called once, when the first part of a success came. */
  readonly onStarted: () => void;
  /** Whether the answer is a series of events, which pass on one by one. */
  readonly stream: boolean;
  /** Id of the last event that the client has, -1 for none. */
  readonly lastEventId: number;
  /** When an attempt that says nothing is given up; undefined for no limit of its own. */
  readonly silence: SilenceLimit | undefined;
}

/**
 * How long an attempt may say nothing, in milliseconds: `firstMs` if its backend says nothing to other
 * requests either, `mostMs` in any case.
 */
export interface SilenceLimit {
  readonly firstMs: number;
  readonly mostMs: number;
  /** When this node last received anything from the backend. */
  readonly backendHeardMs: () => number;
}

const MISDIRECTED = 421;
/** Answers up to this size are passed on only when they are whole. */
const WHOLE_ANSWER_BYTES = 262_144;
const STATUS_SUCCESS_END = 300;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * One request to one backend. Answers that are no events are passed on when they are whole, so that a broken
 * one can be tried elsewhere; of events only whole ones are passed on. An answer that does not name the
 * request's attempt belongs to another request: it is dropped with its connection.
 */
export class BackendAttempt implements Dispatcher.DispatchHandler {
  readonly #options: AttemptOptions;
  readonly #sink: AnswerSink;
  readonly #tracker: EventStreamTracker;
  #resolve: (outcome: AttemptOutcome) => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #settled = false;
  #cancelled = false;
  #sentMs: number | undefined;
  #begunMs: number | undefined;
  #status = 0;
  #headers: AnswerHeaders = {};
  #isSuccess = false;
  #notRun = false;
  #chunks: Buffer[] = [];
  #size = 0;
  #passing = false;
  #silence: Timer | undefined;

  constructor(options: AttemptOptions, sink: AnswerSink) {
    this.#options = options;
    this.#sink = sink;
    this.#tracker = new EventStreamTracker(options.lastEventId);
  }

  /** Whether the request may have reached the backend. */
  get sent(): boolean {
    return this.#sentMs !== undefined;
  }

  /** Time since the first part of a success came, in milliseconds; undefined if none has. */
  get begunForMs(): number | undefined {
    return this.#begunMs === undefined ? undefined : this.#options.clock.now() - this.#begunMs;
  }

  /** Time since the request was written, in milliseconds; 0 before. */
  get runMs(): number {
    return this.#sentMs === undefined ? 0 : this.#options.clock.now() - this.#sentMs;
  }

  get lastEventId(): number {
    return this.#tracker.lastEventId;
  }

  run(): Promise<AttemptOutcome> {
    const { connection, method, path, headers, body } = this.#options;
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#watchSilence();
      connection.dispatcher.dispatch(
        { method: method, path, headers, body: body.length === 0 ? null : body },
        this,
      );
    });
  }

  /** Gives the attempt up; the backend's connection is closed, so that it stops its work. */
  cancel(): void {
    this.#cancelled = true;
    this.#controller?.abort(new Error('cancelled'));
    this.#finish({ kind: 'cancelled' });
  }

  /** Undici calls this when a connection is ready, right before the request is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#cancelled || this.#settled) {
      controller.abort(new Error('cancelled'));
      return;
    }
    const reason = this.#options.heldBack();
    if (reason !== undefined) {
      this.#finish({ kind: 'not-run', reason });
      controller.abort(new Error(reason));
      return;
    }
    this.#sentMs = this.#options.clock.now();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    const { dialect, attemptId } = this.#options;
    const facts = dialect.readAnswer(status, headers);
    this.#options.onNotice(facts.notice);
    this.#status = status;
    this.#headers = headers;
    this.#notRun = facts.notRun;
    this.#isSuccess = status < STATUS_SUCCESS_END;
    if (facts.attemptId !== undefined && facts.attemptId !== attemptId) {
      this.#reject(controller, 'answer to another request');
    } else if (this.#isSuccess && (!facts.signed || facts.attemptId === undefined)) {
      this.#reject(controller, 'success without the mark of a backend');
    } else if (this.#isSuccess && headers['content-encoding'] !== undefined) {
      this.#reject(controller, 'encoded answer');
    } else if (!this.#isStream) this.#silence?.cancel();
    if (!this.#isFramed()) this.#options.connection.expectEndOfAnswer();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#options.onHeard();
    if (this.#settled) return;
    const bytes = this.#isStream ? this.#tracker.push(chunk) : chunk;
    if (bytes.length === 0) return;
    if (this.#isSuccess && this.#begunMs === undefined) this.#begin();
    if (this.#isStream) this.#watchSilence();
    if (this.#passing) {
      this.#pass(controller, bytes);
      return;
    }
    this.#chunks.push(bytes);
    this.#size += bytes.length;
    if (this.#isStream || (this.#isSuccess && this.#size > WHOLE_ANSWER_BYTES))
      this.#startPassing(controller);
  }

  #begin(): void {
    this.#begunMs = this.#options.clock.now();
    this.#options.onStarted();
  }

  onResponseEnd(): void {
    if (this.#settled) return;
    if (this.#isFramed()) {
      this.#ended(this.#options.connection.hasEnded);
      return;
    }
    void this.#options.connection.wasResetAtEnd().then((wasReset) => this.#ended(wasReset));
  }

  /** @param wasCutOff the end of the connection was taken for the end of the answer though it is not */
  #ended(wasCutOff: boolean): void {
    if (this.#settled) return;
    if (wasCutOff) {
      this.#finish({ kind: 'broken', detail: 'connection ended within an answer', how: 'connection-lost' });
    } else if (this.#notRun) this.#finish({ kind: 'not-run', reason: this.#notRunReason() });
    else if (!this.#isSuccess) this.#finish(this.#failure());
    else if (this.#isStream && this.#tracker.hasPartialEvent) {
      this.#finish({ kind: 'broken', detail: 'ended within an event', how: 'bad-answer' });
    } else this.#complete();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#cancelled) this.#finish({ kind: 'cancelled' });
    else if (!this.sent) this.#finish({ kind: 'not-run', reason: 'unreachable' });
    else if (this.#notRun) this.#finish({ kind: 'not-run', reason: this.#notRunReason() });
    else this.#finish({ kind: 'broken', detail: error.message, how: 'connection-lost' });
  }

  get #isStream(): boolean {
    return this.#options.stream && this.#isSuccess;
  }

  /** Whether the answer's head tells where its body ends. */
  #isFramed(): boolean {
    const isBodiless = this.#status === NO_CONTENT || this.#status === NOT_MODIFIED;
    return (
      isBodiless ||
      this.#options.method === 'HEAD' ||
      this.#headers['content-length'] !== undefined ||
      this.#headers['transfer-encoding'] !== undefined
    );
  }

  #notRunReason(): NotRunReason {
    return this.#status === MISDIRECTED ? 'not-present' : 'refused';
  }

  #failure(): AttemptOutcome {
    return {
      kind: 'failure',
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks),
    };
  }

  #complete(): void {
    if (this.#passing) this.#sink.end();
    else if (this.#isStream) {
      if (!this.#sink.started) this.#sink.start(this.#status, this.#headers, undefined);
      this.#sink.end();
    } else {
      this.#sink.start(this.#status, this.#headers, this.#size);
      this.#sink.end(Buffer.concat(this.#chunks));
    }
    this.#finish({ kind: 'complete', status: this.#status });
  }

  #startPassing(controller: Dispatcher.DispatchController): void {
    this.#passing = true;
    if (!this.#sink.started) this.#sink.start(this.#status, this.#headers, undefined);
    for (const chunk of this.#chunks) this.#pass(controller, chunk);
    this.#chunks = [];
  }

  #pass(controller: Dispatcher.DispatchController, bytes: Buffer): void {
    if (this.#sink.write(bytes)) return;
    controller.pause();
    this.#silence?.cancel();
    this.#sink.onDrain(() => {
      if (this.#settled) return;
      this.#watchSilence();
      controller.resume();
    });
  }

  #reject(controller: Dispatcher.DispatchController, detail: string): void {
    this.#finish({ kind: 'broken', detail, how: 'bad-answer' });
    controller.abort(new Error(detail));
  }

  #watchSilence(): void {
    const { silence, clock } = this.#options;
    if (silence === undefined) return;
    this.#silence?.cancel();
    const sinceMs = clock.now();
    this.#silence = clock.setTimer(silence.firstMs, () => {
      if (silence.backendHeardMs() <= sinceMs) this.#giveUpSilent();
      else this.#silence = clock.setTimer(silence.mostMs - silence.firstMs, () => this.#giveUpSilent());
    });
  }

  #giveUpSilent(): void {
    const outcome: AttemptOutcome = this.sent
      ? { kind: 'broken', detail: 'silent', how: 'silent' }
      : { kind: 'not-run', reason: 'unreachable' };
    this.#finish(outcome);
    this.#controller?.abort(new Error('silent'));
  }

  #finish(outcome: AttemptOutcome): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#silence?.cancel();
    this.#resolve(outcome);
  }
}
