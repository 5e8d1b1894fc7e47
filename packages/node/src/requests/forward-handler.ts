import { randomUUID } from 'node:crypto';
import type { Clock } from '@canvasridge/clock';
import {
  Header,
  problem,
  type ConfigurationIndex,
  type EngineRequest,
  type Problem,
  type StreamSink,
} from '@canvasridge/domain';
import type { EngineFleet } from '../control/engine-fleet.js';
import type { SchedulerError } from '../scheduling/engine-work.js';
import { RelaySink, refused, type InboundRequest, type RequestEnd } from './inbound.js';

export interface ForwardHandlerOptions {
  readonly fleet: EngineFleet;
  readonly index: () => ConfigurationIndex | undefined;
  readonly clock: Clock;
}

const PATH_PREFIX = '/forward';

/** Runs requests that peers forward to this node as the owner of an engine. Does not forward them again. */
export class ForwardHandler {
  readonly #options: ForwardHandlerOptions;
  #active = 0;

  constructor(options: ForwardHandlerOptions) {
    this.#options = options;
  }

  /** Number of forwarded requests in progress. */
  get active(): number {
    return this.#active;
  }

  async handle(inbound: InboundRequest, sink: StreamSink, signal: AbortSignal): Promise<RequestEnd> {
    const { fleet, index, clock } = this.#options;
    const { headers } = inbound;
    const engineId = headers[Header.forwardedEngine] ?? '';
    const scheduler = fleet.schedulerOf(engineId);
    if (scheduler === undefined)
      return refused(problem('not-owner', 'no', { detail: `engine: ${engineId}` }));
    const model = index()?.resolveModel(headers[Header.model] ?? '');
    if (model?.isOk() !== true) return refused(problem('unknown-model', 'no'));
    const caller = headers[Header.forwardedCaller] ?? '';
    const relay = new RelaySink(sink, {});
    const startedAtMs = clock.now();
    this.#active += 1;
    const result = await scheduler.submit(
      {
        request: {
          requestId: headers[Header.requestId] ?? randomUUID(),
          path: inbound.path.slice(PATH_PREFIX.length) as EngineRequest['path'],
          model: model.value,
          body: inbound.body,
          priority: Number(headers[Header.priority] ?? 0),
          onDisconnect: headers[Header.resumable] === 'yes' ? 'keep' : 'cancel',
        },
        caller,
        weight: index()?.callerByName(caller)?.weight ?? 1,
        deadlineAtMs: startedAtMs + Number(headers[Header.deadlineMs] ?? 0),
        onDispatch: (stallMs) => relay.setHeader(Header.loadStallMs, String(Math.round(stallMs))),
      },
      relay,
      signal,
    );
    this.#active -= 1;
    if (result.isErr()) return toEnd(result.error, relay);
    fleet.observeServiceTime((clock.now() - startedAtMs) / 1000);
    return { kind: 'completed' };
  }
}

function toEnd(error: SchedulerError, relay: RelaySink): RequestEnd {
  const document = toProblem(error);
  return relay.started ? { kind: 'broken-off', problem: document } : refused(document);
}

function toProblem(error: SchedulerError): Problem {
  switch (error.kind) {
    case 'queue-full':
      return problem('overloaded', 'no');
    case 'not-owner':
    case 'load-failed':
    case 'deadline-passed':
    case 'cancelled':
      return problem(error.kind, 'no');
    case 'engine':
      if (error.cause.kind === 'rejected')
        return problem('malformed-request', 'no', { detail: error.cause.detail });
      return problem(error.executed === 'no' ? 'no-engine' : 'back-end-failed', error.executed, {
        detail: error.cause.kind,
      });
  }
}
