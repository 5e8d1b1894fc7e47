import type {
  ServiceClient,
  ServiceError,
  ServiceReply,
  ServiceRequest,
  StreamSink,
} from '@canvasridge/domain';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { streamExchange } from './stream-exchange.js';

/** Client of services other than engines over HTTP: every response is passed on, whatever its status. */
export class HttpServiceClient implements ServiceClient {
  readonly #dispatcher: Dispatcher;

  constructor(dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher;
  }

  call(
    backEndUrl: string,
    request: ServiceRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<ServiceReply, ServiceError> {
    return new ResultAsync(this.#call(backEndUrl, request, sink, signal));
  }

  async #call(
    backEndUrl: string,
    request: ServiceRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<ServiceReply, ServiceError>> {
    const outcome = await streamExchange(
      this.#dispatcher,
      {
        origin: backEndUrl.replace(/\/$/, ''),
        path: request.path,
        method: request.method,
        headers: request.headers,
        body: request.body.length === 0 ? undefined : request.body,
        passesStatus: () => true,
      },
      sink,
      signal,
    );
    if (outcome.kind !== 'failed') return ok({ status: outcome.status });
    const { started, detail } = outcome;
    if (!outcome.sent) return err({ kind: 'unreachable', executed: 'no', detail });
    if (signal.aborted) return err({ kind: 'cancelled', executed: 'unknown', started });
    return err({ kind: 'broken', executed: 'unknown', started, detail });
  }
}
