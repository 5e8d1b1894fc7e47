import { Header, type EngineRequest, type Problem, type StreamSink } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { streamExchange } from './stream-exchange.js';

/** A request forwarded to the node that owns the engine. Requests are forwarded at most once. */
export interface ForwardedRequest {
  readonly peerUrl: string;
  readonly path: string;
  readonly engineId: string;
  readonly requestId: string;
  readonly caller: string;
  readonly priority: number;
  /** Time left until the request's deadline, in milliseconds. */
  readonly deadlineMs: number;
  readonly model: string;
  readonly onDisconnect: EngineRequest['onDisconnect'];
  readonly body: Uint8Array;
}

/** Why a forwarded request failed. */
export type ForwardError =
  | { readonly kind: 'refused'; readonly problem: Problem }
  | { readonly kind: 'unreachable'; readonly detail: string }
  | {
      readonly kind: 'broken';
      readonly started: boolean;
      readonly lastEventId: number;
      readonly detail: string;
    };

const OK_STATUS = 200;

/** Forwards requests to the nodes that own the engines. */
export interface ForwardClient {
  forward(
    request: ForwardedRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<{ readonly lastEventId: number }, ForwardError>>;
}

/** Forwards requests to peers over HTTP. */
export class HttpForwardClient implements ForwardClient {
  readonly #dispatcher: Dispatcher;
  readonly #nodeId: string;
  readonly #peerKey: string;

  constructor(dispatcher: Dispatcher, nodeId: string, peerKey: string) {
    this.#dispatcher = dispatcher;
    this.#nodeId = nodeId;
    this.#peerKey = peerKey;
  }

  async forward(
    request: ForwardedRequest,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<Result<{ readonly lastEventId: number }, ForwardError>> {
    const outcome = await streamExchange(
      this.#dispatcher,
      {
        origin: request.peerUrl,
        path: `/forward${request.path}`,
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          [Header.peerKey]: this.#peerKey,
          [Header.forwardedBy]: this.#nodeId,
          [Header.forwardedEngine]: request.engineId,
          [Header.forwardedCaller]: request.caller,
          [Header.requestId]: request.requestId,
          [Header.priority]: String(request.priority),
          [Header.deadlineMs]: String(Math.max(0, Math.round(request.deadlineMs))),
          [Header.model]: request.model,
          [Header.resumable]: request.onDisconnect === 'keep' ? 'yes' : 'no',
        },
        body: request.body,
        passesStatus: (status) => status === OK_STATUS,
      },
      sink,
      signal,
    );
    if (outcome.kind !== 'failed') {
      if (outcome.kind === 'answered') return ok({ lastEventId: outcome.lastEventId });
      return err(readProblem(outcome.refusal, outcome.status));
    }
    if (!outcome.sent) return err({ kind: 'unreachable', detail: outcome.detail });
    const { started, lastEventId, detail } = outcome;
    return err({ kind: 'broken', started, lastEventId, detail });
  }
}

function readProblem(text: string, status: number): ForwardError {
  try {
    const value = JSON.parse(text) as Problem;
    if (typeof value.code === 'string' && (value.executed === 'no' || value.executed === 'unknown')) {
      return { kind: 'refused', problem: value };
    }
  } catch {
    // Falls through: without a problem document it is unknown whether the request was executed.
  }
  return {
    kind: 'broken',
    started: false,
    lastEventId: -1,
    detail: `status ${status} without a problem document`,
  };
}
