import {
  Header,
  type ConfigurationSource,
  type ConfigurationSourceError,
  type Machine,
  type MachineList,
  type MachineListError,
  type ServiceClient,
  type ServiceError,
  type ServiceReply,
  type ServiceRequest,
  type SourceValue,
  type StreamSink,
} from '@canvasridge/domain';
import type {
  ConfigurationServiceEmulator,
  MachineListEmulator,
  ServiceEmulator,
} from '@canvasridge/standin';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import { exchange } from './exchange.js';
import type { Host, SimulatedNetwork } from './network.js';

/** Timeout of a read from the configuration service or the machine list. */
const READ_TIMEOUT_MS = 2000;

/** Client of the emulated services over the simulated network; finds a service by the URL of its back end. */
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

/** Client of the emulated configuration service over the simulated network. */
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
    return this.#read(() => Promise.resolve(this.#service.get(key)), READ_TIMEOUT_MS);
  }

  watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): ResultAsync<SourceValue, ConfigurationSourceError> {
    return this.#read(() => this.#service.watch(key, afterVersion, waitMs), waitMs + READ_TIMEOUT_MS);
  }

  #read(
    read: () => Promise<Result<SourceValue, ConfigurationSourceError>>,
    timeoutMs: number,
  ): ResultAsync<SourceValue, ConfigurationSourceError> {
    const response = exchange<Result<SourceValue, ConfigurationSourceError>>(
      this.#network,
      this.#node,
      this.#platform,
      (connection, answer) =>
        connection.toServer(() => void read().then((value) => connection.toClient(() => answer(value)))),
      () => err({ kind: 'unavailable', detail: 'simulated' }),
      timeoutMs,
    );
    return new ResultAsync(response);
  }
}

/** Client of the emulated machine list over the simulated network. */
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
    const response = exchange<Result<readonly Machine[], MachineListError>>(
      this.#network,
      this.#node,
      this.#platform,
      (connection, answer) =>
        connection.toServer(() => {
          const machines = this.#machines.list();
          connection.toClient(() => answer(ok(machines)));
        }),
      () => err({ kind: 'unavailable', detail: 'simulated' }),
      READ_TIMEOUT_MS,
    );
    return new ResultAsync(response);
  }
}
