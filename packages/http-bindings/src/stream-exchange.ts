import type { StreamSink } from '@canvasridge/domain';
import type { Dispatcher } from 'undici';
import { EventStreamTracker } from './event-stream-tracker.js';

/**
 * The response ended normally: `answered` if it went to the sink, `refused` if `passesStatus` kept it from
 * the sink.
 */
export interface ExchangeEnd {
  readonly kind: 'answered' | 'refused';
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Start of the body of a refused response; no chunks are added once it has MAX_REFUSAL_CHARACTERS. */
  readonly refusal: string;
  readonly lastEventId: number;
}

/** The exchange failed. `sent` is whether the request may have reached the server. */
export interface ExchangeFailure {
  readonly kind: 'failed';
  readonly sent: boolean;
  /** Whether the status and headers of a response were passed to the sink. */
  readonly started: boolean;
  readonly lastEventId: number;
  readonly detail: string;
}

/** The request to send and the way its response is handled. */
export interface ExchangeOptions {
  readonly origin: string;
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  /** Whether a response of this status goes to the sink; the body of any other is collected as a refusal. */
  readonly passesStatus: (status: number) => boolean;
  /** Last event id already received, where the request resumes an event stream. */
  readonly afterEventId?: number;
}

const MAX_REFUSAL_CHARACTERS = 8192;

/**
 * Sends an HTTP request and streams its response into a sink with back pressure. Uses undici's dispatch
 * interface, because a readable stream for each response costs about as much as all other work on the path.
 * Never rejects.
 */
export function streamExchange(
  dispatcher: Dispatcher,
  options: ExchangeOptions,
  sink: StreamSink,
  signal: AbortSignal,
): Promise<ExchangeEnd | ExchangeFailure> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(options, sink, signal, resolve);
    if (signal.aborted) {
      handler.failBeforeSending('cancelled');
      return;
    }
    dispatcher.dispatch(
      {
        origin: options.origin,
        path: options.path,
        method: options.method,
        headers: options.headers as Record<string, string>,
        body: options.body ?? null,
      },
      handler,
    );
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #options: ExchangeOptions;
  readonly #sink: StreamSink;
  readonly #signal: AbortSignal;
  readonly #resolve: (outcome: ExchangeEnd | ExchangeFailure) => void;
  readonly #onAbort = (): void => this.#controller?.abort(new Error('cancelled'));
  #controller: Dispatcher.DispatchController | undefined;
  #tracker: EventStreamTracker | undefined;
  #sent = false;
  #started = false;
  #status = 0;
  #headers: Readonly<Record<string, string>> = {};
  #refusal = '';

  constructor(
    options: ExchangeOptions,
    sink: StreamSink,
    signal: AbortSignal,
    resolve: (outcome: ExchangeEnd | ExchangeFailure) => void,
  ) {
    this.#options = options;
    this.#sink = sink;
    this.#signal = signal;
    this.#resolve = resolve;
    signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  /** Called by undici when a connection is ready, just before it writes the request. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#signal.aborted) {
      controller.abort(new Error('cancelled'));
      return;
    }
    this.#sent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.#status = status;
    this.#headers = flattenHeaders(headers);
    if (!this.#options.passesStatus(status)) return;
    this.#started = true;
    const isEventStream = this.#headers['content-type']?.startsWith('text/event-stream') === true;
    if (isEventStream) this.#tracker = new EventStreamTracker(this.#options.afterEventId);
    this.#sink.start(status, this.#headers);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#started) {
      if (this.#refusal.length < MAX_REFUSAL_CHARACTERS) this.#refusal += chunk.toString('utf8');
      return;
    }
    const bytes = this.#tracker === undefined ? chunk : this.#tracker.push(chunk);
    if (bytes.length === 0 || this.#sink.write(bytes)) return;
    controller.pause();
    this.#sink
      .waitForDrain()
      .then(() => controller.resume())
      .catch((cause: unknown) => controller.abort(new Error(`caller's sink failed: ${String(cause)}`)));
  }

  onResponseEnd(): void {
    this.#finish({
      kind: this.#started ? 'answered' : 'refused',
      status: this.#status,
      headers: this.#headers,
      refusal: this.#refusal,
      lastEventId: this.#tracker?.lastEventId ?? -1,
    });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#fail(error.message);
  }

  failBeforeSending(detail: string): void {
    this.#fail(detail);
  }

  #fail(detail: string): void {
    const lastEventId = this.#tracker?.lastEventId ?? this.#options.afterEventId ?? -1;
    this.#finish({ kind: 'failed', sent: this.#sent, started: this.#started, lastEventId, detail });
  }

  #finish(outcome: ExchangeEnd | ExchangeFailure): void {
    this.#signal.removeEventListener('abort', this.#onAbort);
    this.#resolve(outcome);
  }
}

function flattenHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value !== undefined) flat[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return flat;
}
