import { Header, type StreamSink } from '@canvasridge/domain';
import {
  parseRpcResponse,
  type DatagramTransport,
  type PeerCallError,
  type PeerCaller,
} from '@canvasridge/membership';
import type { EntryNode, RequestEnd } from '@canvasridge/node';
import type { ForwardClient, ForwardError, ForwardedRequest } from '@canvasridge/http-bindings';
import { createJSONRPCRequest, type JSONRPCResponse } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { Connection, Host, SimulatedNetwork } from './network.js';
import { exchange } from './exchange.js';

/** A running node process of the simulation. */
export interface NodePeer {
  readonly host: Host;
  readonly node: EntryNode;
}

/** Finds the process that currently listens at an address. */
export interface PeerLookup {
  /** Finds a node by its `peerUrl`. */
  findByPeerUrl(url: string): NodePeer | undefined;
  /** Finds the receiver at a gossip address. */
  findByGossipAddress(address: string): { readonly host: Host; readonly receive: Receiver } | undefined;
}

export type Receiver = (fromAddress: string, bytes: Uint8Array) => void;

/** Bytes of the IP and UDP headers of a datagram. */
const DATAGRAM_OVERHEAD_BYTES = 28 + 8;
/** Bytes of the HTTP headers of a call or its response. */
const CALL_OVERHEAD_BYTES = 300;

/** Counts the traffic of one node in both directions, in bytes including headers. */
export class TrafficMeter {
  bytes = 0;
  messages = 0;

  count(bytes: number): void {
    this.bytes += bytes;
    this.messages += 1;
  }
}

/** Datagram transport of a node over the simulated network. */
export class SimulatedTransport implements DatagramTransport {
  readonly localAddress: string;
  readonly meter: TrafficMeter;
  readonly #network: SimulatedNetwork;
  readonly #host: Host;
  readonly #peers: PeerLookup;
  receive: Receiver = () => undefined;

  constructor(
    network: SimulatedNetwork,
    host: Host,
    address: string,
    peers: PeerLookup,
    meter: TrafficMeter,
  ) {
    this.#network = network;
    this.#host = host;
    this.localAddress = address;
    this.#peers = peers;
    this.meter = meter;
  }

  send(address: string, bytes: Uint8Array): void {
    this.meter.count(bytes.length + DATAGRAM_OVERHEAD_BYTES);
    const target = this.#peers.findByGossipAddress(address);
    if (target === undefined) return;
    this.#network.sendDatagram(this.#host, target.host, () => target.receive(this.localAddress, bytes));
  }

  onMessage(receiver: Receiver): void {
    this.receive = (from, bytes) => {
      this.meter.count(bytes.length + DATAGRAM_OVERHEAD_BYTES);
      receiver(from, bytes);
    };
  }

  close(): void {
    this.receive = () => undefined;
  }
}

/** JSON-RPC calls over the simulated network, handled by the production RPC server of the called node. */
export class SimulatedPeerCaller implements PeerCaller {
  readonly #network: SimulatedNetwork;
  readonly #host: Host;
  readonly #peers: PeerLookup;
  readonly #meter: TrafficMeter;

  constructor(network: SimulatedNetwork, host: Host, peers: PeerLookup, meter: TrafficMeter) {
    this.#network = network;
    this.#host = host;
    this.#peers = peers;
    this.#meter = meter;
  }

  async call<T>(
    peerUrl: string,
    method: string,
    params: unknown,
    answerSchema: z.ZodType<T>,
    timeoutMs: number,
  ): Promise<Result<T, PeerCallError>> {
    const target = this.#peers.findByPeerUrl(peerUrl);
    if (target === undefined) return err({ kind: 'unreachable', peerUrl, detail: 'no process' });
    const request = createJSONRPCRequest(1, method, params);
    this.#meter.count(JSON.stringify(request).length + CALL_OVERHEAD_BYTES);
    const response = await exchange<JSONRPCResponse | undefined>(
      this.#network,
      this.#host,
      target.host,
      (connection, answer) =>
        connection.toServer(() => {
          void target.node.rpc.receive(request).then((reply) => {
            connection.toClient(() => answer(reply));
          });
        }),
      () => undefined,
      timeoutMs,
    );
    if (response === undefined) return err({ kind: 'unreachable', peerUrl, detail: 'no answer' });
    this.#meter.count(JSON.stringify(response).length + CALL_OVERHEAD_BYTES);
    return parseRpcResponse(peerUrl, response, answerSchema);
  }
}

/** Runs a request on a node over a connection; used by forwarding nodes and by callers. */
export function runRequest(
  network: SimulatedNetwork,
  client: Host,
  target: NodePeer,
  run: (sink: StreamSink, signal: AbortSignal) => Promise<RequestEnd>,
  sink: StreamSink,
  signal?: AbortSignal,
): Promise<{ readonly end: RequestEnd } | { readonly failed: true; readonly sent: boolean }> {
  type Outcome = { readonly end: RequestEnd } | { readonly failed: true; readonly sent: boolean };
  return exchange<Outcome>(
    network,
    client,
    target.host,
    (connection, answer) =>
      connection.toServer(() => {
        const disconnected = new AbortController();
        connection.onServerBreak = () => disconnected.abort();
        void run(sinkOverConnection(connection, sink), disconnected.signal).then((end) => {
          connection.toClient(() => answer({ end }));
        });
      }),
    (sent) => ({ failed: true, sent }),
    undefined,
    signal,
  );
}

function sinkOverConnection(connection: Connection, sink: StreamSink): StreamSink {
  return {
    start: (status, headers) => connection.toClient(() => sink.start(status, headers)),
    write: (chunk) => {
      connection.toClient(() => sink.write(chunk));
      return true;
    },
    waitForDrain: () => Promise.resolve(),
  };
}

/** Forwards requests to the owners of engines over the simulated network. */
export class SimulatedForwardClient implements ForwardClient {
  readonly #network: SimulatedNetwork;
  readonly #host: Host;
  readonly #peers: PeerLookup;

  constructor(network: SimulatedNetwork, host: Host, peers: PeerLookup) {
    this.#network = network;
    this.#host = host;
    this.#peers = peers;
  }

  async forward(
    request: ForwardedRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<{ readonly lastEventId: number }, ForwardError>> {
    const target = this.#peers.findByPeerUrl(request.peerUrl);
    if (target === undefined) return err({ kind: 'unreachable', detail: 'no process' });
    const tracker = new EventIdTracker(sink);
    const outcome = await runRequest(
      this.#network,
      this.#host,
      target,
      (remote, disconnected) =>
        target.node.forwardHandler.handle(toInboundRequest(request), remote, disconnected),
      tracker,
      signal,
    );
    const { started, lastEventId } = tracker;
    if ('failed' in outcome) {
      if (!outcome.sent) return err({ kind: 'unreachable', detail: 'simulated' });
      return err({ kind: 'broken', started, lastEventId, detail: 'simulated' });
    }
    return toForwardResult(outcome.end, started, lastEventId);
  }
}

function toInboundRequest(request: ForwardedRequest): Parameters<EntryNode['forwardHandler']['handle']>[0] {
  return {
    method: 'POST',
    path: `/forward${request.path}`,
    headers: {
      [Header.forwardedEngine]: request.engineId,
      [Header.forwardedCaller]: request.caller,
      [Header.requestId]: request.requestId,
      [Header.priority]: String(request.priority),
      [Header.deadlineMs]: String(request.deadlineMs),
      [Header.model]: request.model,
      [Header.resumable]: request.onDisconnect === 'keep' ? 'yes' : 'no',
    },
    body: request.body,
  };
}

function toForwardResult(
  end: RequestEnd,
  started: boolean,
  lastEventId: number,
): Result<{ readonly lastEventId: number }, ForwardError> {
  switch (end.kind) {
    case 'completed':
      return ok({ lastEventId });
    case 'refused':
      return err({ kind: 'refused', problem: end.problem });
    case 'broken-off':
      return err({ kind: 'broken', started, lastEventId, detail: end.problem.code });
  }
}

/** Records the id of the last event of a stream, as the HTTP binding does. */
class EventIdTracker implements StreamSink {
  readonly #sink: StreamSink;
  started = false;
  lastEventId = -1;

  constructor(sink: StreamSink) {
    this.#sink = sink;
  }

  start(status: number, headers: Readonly<Record<string, string>>): void {
    this.started = true;
    this.#sink.start(status, headers);
  }

  write(chunk: Uint8Array): boolean {
    const id = /^id: (\d+)/.exec(Buffer.from(chunk).toString('utf8'))?.[1];
    if (id !== undefined) this.lastEventId = Number(id);
    return this.#sink.write(chunk);
  }

  waitForDrain(): Promise<void> {
    return this.#sink.waitForDrain();
  }
}
