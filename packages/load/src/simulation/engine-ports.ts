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

/** Time limit of an order other than a load, as in the HTTP binding. */
const ORDER_TIMEOUT_MS = 2500;
const LOAD_TIMEOUT_MS = 60_000;
const REPORT_TIMEOUT_MS = 2000;
/** HTTP and TCP headers of an order and its answer, and a whole report exchange, in bytes. */
const EXCHANGE_OVERHEAD_BYTES = 550;
const REPORT_BYTES = 1100;

/** Switches of the simulated link to an engine. */
export interface EngineLinkFaults {
  /** Share of orders that arrive late and whose answer is lost. */
  lateOrders: number;
  /** How late such an order may arrive, in milliseconds. */
  latestMs: number;
}

const BROKEN = { kind: 'broken', executed: 'unknown', lastEventId: -1, detail: 'simulated' } as const;

/** An emulated engine over the simulated network. */
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
    const late = this.#network.random.next() < this.#faults.lateOrders;
    const timeoutMs = order.kind === 'load' ? LOAD_TIMEOUT_MS : ORDER_TIMEOUT_MS;
    const answered = exchange<Result<EngineOrderReply, EngineError>>(
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
    return new ResultAsync(answered);
  }

  report(): ResultAsync<EngineReport, EngineError> {
    this.#meter.count(REPORT_BYTES);
    const answered = exchange<Result<EngineReport, EngineError>>(
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
    return new ResultAsync(answered);
  }

  /** The order lies in a buffer and strikes after its sender has given up on it. */
  #orderLate(fence: number, order: EngineOrder): void {
    const delayMs = this.#network.random.next() * this.#faults.latestMs;
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
    const reader = new StreamReader(sink, -1);
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
          this.#read(submitted, connection, reader, body.stream === true, answer);
        }),
      (sent) => failure(sent, signal, reader),
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
    const reader = new StreamReader(sink, afterEventId);
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
          this.#read(sequence, connection, reader, true, answer);
        }),
      (sent) => failure(sent, signal, reader),
      undefined,
      signal,
    );
  }

  /** Attaches to a generation and passes its tokens on, as server-sent events or as one document. */
  #read(
    sequence: Sequence,
    connection: Connection,
    reader: StreamReader,
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
          connection.toClient(() => reader.event(id, tokenEvent(sequence, id)));
        }
      },
      onEnd: () => {
        const id = sequence.totalTokens;
        const text = stream ? `id: ${id}\ndata: [DONE]\n\n` : wholeDocument(sequence);
        connection.toClient(() => {
          if (id > reader.lastEventId) reader.event(id, text);
          answer(ok({ lastEventId: id }));
        });
      },
      onBroken: () => connection.break(),
    };
    connection.onServerBreak = () => this.#engine.detach(sequence, listener);
    sequence.attach(listener);
  }
}

/** Passes events to the sink and remembers the last. */
class StreamReader {
  readonly #sink: StreamSink;
  lastEventId: number;
  #events = 0;

  constructor(sink: StreamSink, afterEventId: number) {
    this.#sink = sink;
    this.lastEventId = afterEventId;
  }

  /** Whether any event has come, which decides if there is a position to resume from. */
  get position(): number {
    return this.#events === 0 && this.lastEventId < 0 ? -1 : this.lastEventId;
  }

  start(headers: Readonly<Record<string, string>>): void {
    this.#sink.start(200, headers);
  }

  event(id: number, text: string): void {
    this.#events += 1;
    this.lastEventId = id;
    this.#sink.write(Buffer.from(text));
  }
}

function failure(
  sent: boolean,
  signal: AbortSignal,
  reader: StreamReader,
): Result<GenerationEnd, EngineError> {
  if (!sent) return err({ kind: 'unreachable', executed: 'no', detail: 'simulated' });
  if (signal.aborted) return err({ kind: 'cancelled', executed: 'unknown' });
  return err({ ...BROKEN, lastEventId: reader.position });
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

function tokenEvent(sequence: Sequence, id: number): string {
  const text = tokenText(sequence.promptHash, id);
  return `id: ${id}\ndata: {"model":"${sequence.model}","choices":[{"index":0,"text":"${text}"}]}\n\n`;
}

function wholeDocument(sequence: Sequence): string {
  let text = '';
  for (let index = 0; index < sequence.totalTokens; index += 1)
    text += tokenText(sequence.promptHash, index);
  return JSON.stringify({ model: sequence.model, choices: [{ index: 0, text }] });
}
