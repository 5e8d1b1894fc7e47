import type {
  EngineClient,
  EngineError,
  EngineOrder,
  EngineOrderReply,
  EngineReport,
  EngineRequest,
  GenerationEnd,
  StreamSink,
} from '@canvasridge/domain';
import { Header } from '@canvasridge/domain';
import type { EngineEmulator, Sequence, SequenceListener } from '@canvasridge/standin';
import { tokenText } from '@canvasridge/standin';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import { exchange } from './exchange.js';
import type { Connection, Host, SimulatedNetwork } from './network.js';

/** Timeout of all orders but loads. The timeouts are those of the HTTP binding. */
const ORDER_TIMEOUT_MS = 2500;
const LOAD_TIMEOUT_MS = 60_000;
const REPORT_TIMEOUT_MS = 2000;
/** Bytes of HTTP and TCP headers of an order and its reply. */
const EXCHANGE_OVERHEAD_BYTES = 550;
/** Bytes of a report with its request and all headers. */
const REPORT_BYTES = 1100;

/** Faults of the simulated links to engines, which can be changed during a run. */
export interface EngineLinkFaults {
  /** Fraction of orders that are executed late and whose reply is lost. */
  lateOrderFraction: number;
  /** Maximum delay of such an order, in milliseconds. */
  maxDelayMs: number;
}

const BROKEN = { kind: 'broken', executed: 'unknown', lastEventId: -1, detail: 'simulated' } as const;

/** Client of an emulated engine over the simulated network. */
export class SimulatedEngineClient implements EngineClient {
  readonly #network: SimulatedNetwork;
  readonly #node: Host;
  readonly #engineHost: Host;
  readonly #engine: EngineEmulator;
  readonly #faults: EngineLinkFaults;
  readonly #meter: { count(bytes: number): void };

  constructor(
    network: SimulatedNetwork,
    node: Host,
    engineHost: Host,
    engine: EngineEmulator,
    faults: EngineLinkFaults,
    meter: { count(bytes: number): void },
  ) {
    this.#network = network;
    this.#node = node;
    this.#engineHost = engineHost;
    this.#engine = engine;
    this.#faults = faults;
    this.#meter = meter;
  }

  generate(
    request: EngineRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError> {
    return new ResultAsync(this.#generate(request, sink, signal));
  }

  resume(
    requestId: string,
    afterEventId: number,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<GenerationEnd, EngineError> {
    return new ResultAsync(this.#resume(requestId, afterEventId, sink, signal));
  }

  order(fence: number, order: EngineOrder, signal?: AbortSignal): ResultAsync<EngineOrderReply, EngineError> {
    this.#meter.count(JSON.stringify(order).length + EXCHANGE_OVERHEAD_BYTES);
    const late = this.#network.random.next() < this.#faults.lateOrderFraction;
    const timeoutMs = order.kind === 'load' ? LOAD_TIMEOUT_MS : ORDER_TIMEOUT_MS;
    const response = exchange<Result<EngineOrderReply, EngineError>>(
      this.#network,
      this.#node,
      this.#engineHost,
      (connection, answer) => {
        if (late) {
          this.#orderLate(fence, order);
          return;
        }
        connection.toServer(() => {
          if (!this.#engine.reachable) return connection.break();
          void this.#engine.order(fence, order).then((reply) => connection.toClient(() => answer(ok(reply))));
        });
      },
      () => err(BROKEN),
      late ? ORDER_TIMEOUT_MS : timeoutMs,
      signal,
    );
    return new ResultAsync(response);
  }

  report(): ResultAsync<EngineReport, EngineError> {
    this.#meter.count(REPORT_BYTES);
    const response = exchange<Result<EngineReport, EngineError>>(
      this.#network,
      this.#node,
      this.#engineHost,
      (connection, answer) =>
        connection.toServer(() => {
          if (!this.#engine.reachable) return connection.break();
          const report = this.#engine.report();
          connection.toClient(() => answer(ok(report)));
        }),
      () => err(BROKEN),
      REPORT_TIMEOUT_MS,
    );
    return new ResultAsync(response);
  }

  /** Executes an order after a random delay, as if it was held in a buffer. Its sender gets no reply. */
  #orderLate(fence: number, order: EngineOrder): void {
    const delayMs = this.#network.random.next() * this.#faults.maxDelayMs;
    this.#network.clock.setTimer(delayMs, () => void this.#engine.order(fence, order));
  }

  async #generate(
    request: EngineRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, EngineError>> {
    const body = JSON.parse(Buffer.from(request.body).toString('utf8')) as {
      prompt: string;
      max_tokens: number;
      stream?: boolean;
    };
    const reader = new TokenStreamReader(sink, -1);
    const result = await exchange<Result<GenerationEnd, EngineError>>(
      this.#network,
      this.#node,
      this.#engineHost,
      (connection, answer) =>
        connection.toServer(() => {
          if (!this.#engine.reachable) return connection.break();
          const submitted = this.#engine.submit({
            requestId: request.requestId,
            model: request.model,
            prompt: body.prompt,
            maxTokens: body.max_tokens,
            priority: request.priority,
            fence: request.fence,
          });
          if ('kind' in submitted) {
            const refusal = toEngineError(submitted);
            connection.toClient(() => answer(err(refusal)));
            return;
          }
          this.#passTokens(submitted, connection, reader, body.stream === true, answer);
        }),
      (sent) => toFailure(sent, signal, reader),
      undefined,
      signal,
    );
    if (signal.aborted && request.onDisconnect === 'cancel') this.#cancel(request.requestId);
    return result;
  }

  #cancel(requestId: string): void {
    const connection = this.#network.connect(this.#node, this.#engineHost);
    connection?.toServer(() => {
      this.#engine.cancel(requestId);
      connection.close();
    });
  }

  #resume(
    requestId: string,
    afterEventId: number,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<GenerationEnd, EngineError>> {
    const reader = new TokenStreamReader(sink, afterEventId);
    return exchange<Result<GenerationEnd, EngineError>>(
      this.#network,
      this.#node,
      this.#engineHost,
      (connection, answer) =>
        connection.toServer(() => {
          const sequence = this.#engine.find(requestId);
          if (!this.#engine.reachable) return connection.break();
          if (sequence === undefined) {
            const rejected = {
              kind: 'rejected',
              executed: 'no',
              status: 404,
              detail: 'unknown request',
            } as const;
            connection.toClient(() => answer(err(rejected)));
            return;
          }
          this.#passTokens(sequence, connection, reader, true, answer);
        }),
      (sent) => toFailure(sent, signal, reader),
      undefined,
      signal,
    );
  }

  /**
   * Attaches to a generation and sends its tokens to the client, as server-sent events or as one document.
   */
  #passTokens(
    sequence: Sequence,
    connection: Connection,
    reader: TokenStreamReader,
    stream: boolean,
    answer: (result: Result<GenerationEnd, EngineError>) => void,
  ): void {
    const headers = {
      'content-type': stream ? 'text/event-stream' : 'application/json',
      [Header.servedModel]: sequence.model,
    };
    let next = reader.lastEventId + 1;
    connection.toClient(() => reader.start(headers));
    const listener: SequenceListener = {
      onTokens: (last) => {
        if (!stream) return;
        for (; next <= last; next += 1) {
          const id = next;
          connection.toClient(() => reader.writeEvent(id, formatTokenEvent(sequence, id)));
        }
      },
      onEnd: () => {
        const id = sequence.totalTokens;
        const text = stream ? `id: ${id}\ndata: [DONE]\n\n` : formatCompletion(sequence);
        connection.toClient(() => {
          if (id > reader.lastEventId) reader.writeEvent(id, text);
          answer(ok({ lastEventId: id }));
        });
      },
      onBroken: () => connection.break(),
    };
    connection.onServerBreak = () => this.#engine.detach(sequence, listener);
    sequence.attach(listener);
  }
}

/** Writes events to the sink and records the id of the last. */
class TokenStreamReader {
  readonly #sink: StreamSink;
  lastEventId: number;
  #events = 0;

  constructor(sink: StreamSink, afterEventId: number) {
    this.#sink = sink;
    this.lastEventId = afterEventId;
  }

  /** Id of the last event, from which the stream can be resumed; -1 if there was none. */
  get resumePosition(): number {
    return this.#events === 0 && this.lastEventId < 0 ? -1 : this.lastEventId;
  }

  start(headers: Readonly<Record<string, string>>): void {
    this.#sink.start(200, headers);
  }

  writeEvent(id: number, text: string): void {
    this.#events += 1;
    this.lastEventId = id;
    this.#sink.write(Buffer.from(text));
  }
}

function toFailure(
  sent: boolean,
  signal: AbortSignal,
  reader: TokenStreamReader,
): Result<GenerationEnd, EngineError> {
  if (!sent) return err({ kind: 'unreachable', executed: 'no', detail: 'simulated' });
  if (signal.aborted) return err({ kind: 'cancelled', executed: 'unknown' });
  return err({ ...BROKEN, lastEventId: reader.resumePosition });
}

function toEngineError(refusal: Exclude<ReturnType<EngineEmulator['submit']>, Sequence>): EngineError {
  switch (refusal.kind) {
    case 'stale-fence':
      return { kind: 'stale-fence', executed: 'no', currentFence: refusal.currentFence };
    case 'adapter-not-loaded':
      return { kind: 'adapter-not-loaded', executed: 'no' };
    case 'full':
    case 'draining':
      return { kind: 'full', executed: 'no' };
  }
}

function formatTokenEvent(sequence: Sequence, id: number): string {
  const text = tokenText(sequence.promptHash, id);
  return `id: ${id}\ndata: {"model":"${sequence.model}","choices":[{"index":0,"text":"${text}"}]}\n\n`;
}

function formatCompletion(sequence: Sequence): string {
  let text = '';
  for (let index = 0; index < sequence.totalTokens; index += 1) text += tokenText(sequence.promptHash, index);
  return JSON.stringify({ model: sequence.model, choices: [{ index: 0, text }] });
}
