import type {
  ConfigurationSource,
  ConfigurationSourceError,
  EngineClient,
  EngineError,
  EngineOrder,
  EngineOrderReply,
  EngineReport,
  EngineRequest,
  GenerationEnd,
  MachineList,
  MachineListError,
  Machine,
  ServiceClient,
  ServiceError,
  ServiceReply,
  ServiceRequest,
  SourceValue,
  StreamSink,
} from '@canvasridge/domain';
import { Header } from '@canvasridge/domain';
import type {
  ConfigurationServiceEmulator,
  EngineEmulator,
  MachineListEmulator,
  Sequence,
  SequenceListener,
  ServiceEmulator,
} from '@canvasridge/standin';
import { answerToken } from '@canvasridge/standin';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
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

/** One remote exchange: ends once, by an answer, a break, a timeout or an abort. */
function exchange<T>(
  network: SimulatedNetwork,
  client: Host,
  server: Host,
  start: (connection: Connection, answer: (value: T) => void) => void,
  onFailure: (sent: boolean) => T,
  timeoutMs?: number,
  signal?: AbortSignal,
): Promise<T> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) return resolve(onFailure(false));
    const connection = network.connect(client, server);
    if (connection === undefined) {
      client.clock.setTimer(network.delayMs() * 2, () => resolve(onFailure(false)));
      return;
    }
    const finish = (value: T): void => {
      timer?.cancel();
      signal?.removeEventListener('abort', aborted);
      connection.close();
      resolve(value);
    };
    const aborted = (): void => {
      connection.break();
      finish(onFailure(true));
    };
    const timer = timeoutMs === undefined ? undefined : client.clock.setTimer(timeoutMs, aborted);
    signal?.addEventListener('abort', aborted, { once: true });
    connection.onClientBreak = () => finish(onFailure(true));
    start(connection, finish);
  });
}

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
  const text = answerToken(sequence.promptHash, id);
  return `id: ${id}\ndata: {"model":"${sequence.model}","choices":[{"index":0,"text":"${text}"}]}\n\n`;
}

function wholeDocument(sequence: Sequence): string {
  let text = '';
  for (let index = 0; index < sequence.totalTokens; index += 1)
    text += answerToken(sequence.promptHash, index);
  return JSON.stringify({ model: sequence.model, choices: [{ index: 0, text }] });
}

/** Emulated services over the simulated network, by the URL of their back end. */
export class SimulatedServiceClient implements ServiceClient {
  readonly #network: SimulatedNetwork;
  readonly #node: Host;
  readonly #backEnds: ReadonlyMap<string, { readonly host: Host; readonly service: ServiceEmulator }>;

  constructor(
    network: SimulatedNetwork,
    node: Host,
    backEnds: ReadonlyMap<string, { readonly host: Host; readonly service: ServiceEmulator }>,
  ) {
    this.#network = network;
    this.#node = node;
    this.#backEnds = backEnds;
  }

  call(
    backEndUrl: string,
    request: ServiceRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): ResultAsync<ServiceReply, ServiceError> {
    return new ResultAsync(this.#call(backEndUrl, request, sink, signal));
  }

  #call(
    backEndUrl: string,
    request: ServiceRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<ServiceReply, ServiceError>> {
    const backEnd = this.#backEnds.get(backEndUrl);
    if (backEnd === undefined) {
      return Promise.resolve(err({ kind: 'unreachable', executed: 'no', detail: 'no such back end' }));
    }
    const { service, host } = backEnd;
    const key = request.headers[Header.idempotencyKey] ?? '';
    const execution = { requestId: request.requestId, key, path: request.path };
    return exchange<Result<ServiceReply, ServiceError>>(
      this.#network,
      this.#node,
      host,
      (connection, answer) =>
        connection.toServer(() => {
          if (!service.reachable) return connection.break();
          void service.call(execution, Buffer.from(request.body).toString('utf8')).then((text) => {
            if (text === undefined) return connection.break();
            connection.toClient(() => {
              sink.start(200, { 'content-type': 'application/json' });
              sink.write(Buffer.from(text));
              answer(ok({ status: 200 }));
            });
          });
        }),
      (sent) => {
        if (!sent) return err({ kind: 'unreachable', executed: 'no', detail: 'simulated' });
        const kind = signal.aborted ? 'cancelled' : 'broken';
        if (kind === 'cancelled') return err({ kind, executed: 'unknown', started: false });
        return err({ kind, executed: 'unknown', started: false, detail: 'simulated' });
      },
      undefined,
      signal,
    );
  }
}

/** The emulated configuration service over the simulated network. */
export class SimulatedConfigurationSource implements ConfigurationSource {
  readonly #network: SimulatedNetwork;
  readonly #node: Host;
  readonly #platform: Host;
  readonly #service: ConfigurationServiceEmulator;

  constructor(network: SimulatedNetwork, node: Host, platform: Host, service: ConfigurationServiceEmulator) {
    this.#network = network;
    this.#node = node;
    this.#platform = platform;
    this.#service = service;
  }

  get(key: string): ResultAsync<SourceValue, ConfigurationSourceError> {
    return this.#ask(() => Promise.resolve(this.#service.get(key)), REPORT_TIMEOUT_MS);
  }

  watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): ResultAsync<SourceValue, ConfigurationSourceError> {
    return this.#ask(() => this.#service.watch(key, afterVersion, waitMs), waitMs + REPORT_TIMEOUT_MS);
  }

  #ask(
    read: () => Promise<Result<SourceValue, ConfigurationSourceError>>,
    timeoutMs: number,
  ): ResultAsync<SourceValue, ConfigurationSourceError> {
    const answered = exchange<Result<SourceValue, ConfigurationSourceError>>(
      this.#network,
      this.#node,
      this.#platform,
      (connection, answer) =>
        connection.toServer(() => void read().then((value) => connection.toClient(() => answer(value)))),
      () => err({ kind: 'unavailable', detail: 'simulated' }),
      timeoutMs,
    );
    return new ResultAsync(answered);
  }
}

/** The emulated machine list over the simulated network. */
export class SimulatedMachineList implements MachineList {
  readonly #network: SimulatedNetwork;
  readonly #node: Host;
  readonly #platform: Host;
  readonly #machines: MachineListEmulator;

  constructor(network: SimulatedNetwork, node: Host, platform: Host, machines: MachineListEmulator) {
    this.#network = network;
    this.#node = node;
    this.#platform = platform;
    this.#machines = machines;
  }

  list(): ResultAsync<readonly Machine[], MachineListError> {
    const answered = exchange<Result<readonly Machine[], MachineListError>>(
      this.#network,
      this.#node,
      this.#platform,
      (connection, answer) =>
        connection.toServer(() => {
          const machines = this.#machines.list();
          connection.toClient(() => answer(ok(machines)));
        }),
      () => err({ kind: 'unavailable', detail: 'simulated' }),
      REPORT_TIMEOUT_MS,
    );
    return new ResultAsync(answered);
  }
}

export { exchange };
