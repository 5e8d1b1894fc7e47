import type { RetryBudget } from '@canvasridge/admission';
import { Backoff, type Clock, type Random } from '@canvasridge/clock';
import {
  problem,
  type Executed,
  type ServiceClient,
  type ServiceDefinition,
  type ServiceError,
} from '@canvasridge/domain';
import type { Telemetry } from '@canvasridge/telemetry';
import type { InboundRequest, RelaySink, RequestEnd, RequestOptions } from './inbound.js';
import { refused } from './inbound.js';

type BackEnd = ServiceDefinition['backEnds'][number];

export interface ServiceCall {
  readonly service: ServiceDefinition;
  /** Path and query, relative to the service. */
  readonly path: string;
  readonly inbound: InboundRequest;
  readonly options: RequestOptions;
  readonly repeatable: boolean;
}

export interface ServiceRouterOptions {
  readonly client: ServiceClient;
  readonly budget: RetryBudget;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly zone: string;
  readonly isLeaving: (machine: string | undefined) => boolean;
}

interface BackEndState {
  inFlight: number;
  /** The back end is treated as failing until this time. */
  failingUntilMs: number;
}

/** How long a back end is treated as failing after a failed call. */
const FAILURE_PENALTY_MS = 2000;
const RETRY_BACKOFF = { initialMs: 30, maximumMs: 300 } as const;
const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key'] as const;
const RETRY_AFTER_SECONDS = 1;

/**
 * Sends calls to HTTP services: to the least loaded back end, preferring this node's zone, with retries where
 * safe.
 */
export class ServiceRouter {
  readonly #options: ServiceRouterOptions;
  readonly #states = new Map<string, BackEndState>();

  constructor(options: ServiceRouterOptions) {
    this.#options = options;
  }

  async run(call: ServiceCall, sink: RelaySink, signal: AbortSignal): Promise<RequestEnd> {
    const { clock, random, budget, telemetry } = this.#options;
    const backoff = new Backoff(RETRY_BACKOFF, random);
    const tried = new Set<string>();
    // Once an attempt may have run, a later refusal must not report this call as not executed.
    let executed: Executed = 'no';
    budget.deposit();
    for (;;) {
      if (signal.aborted) return refused(problem('cancelled', executed));
      if (clock.now() >= call.options.deadlineAtMs) return refused(problem('deadline-passed', executed));
      const backEnd = this.#choose(call.service, tried);
      if (backEnd === undefined) break;
      tried.add(backEnd.url);
      const error = await this.#attempt(call, backEnd, sink, signal);
      if (error === undefined) return { kind: 'completed' };
      if (error.kind !== 'unreachable') {
        executed = 'unknown';
        if (error.started) return { kind: 'broken-off', problem: problem('back-end-failed', 'unknown') };
        if (error.kind === 'cancelled') return refused(problem('cancelled', 'unknown'));
        if (!call.repeatable) return refused(problem('outcome-unknown', 'unknown'));
      }
      if (!budget.withdraw()) break;
      telemetry.metrics.count('requests.retried');
      await clock.sleep(backoff.nextDelayMs(), signal);
    }
    return refused(problem('service-unavailable', executed, { retryAfterSeconds: RETRY_AFTER_SECONDS }));
  }

  async #attempt(
    call: ServiceCall,
    backEnd: BackEnd,
    sink: RelaySink,
    signal: AbortSignal,
  ): Promise<ServiceError | undefined> {
    const { client, clock, telemetry } = this.#options;
    const state = this.#state(backEnd);
    const startedAtMs = clock.wallTime();
    state.inFlight += 1;
    const result = await client.call(backEnd.url, toServiceRequest(call), sink, signal);
    state.inFlight -= 1;
    telemetry.step('service.call', call.options.requestId, backEnd.url, startedAtMs);
    if (result.isOk()) return undefined;
    if (result.error.kind !== 'cancelled') state.failingUntilMs = clock.now() + FAILURE_PENALTY_MS;
    return result.error;
  }

  /**
   * Among back ends that were not tried yet and whose machine is not leaving: prefers those without a recent
   * failure, then the lowest number of requests in flight, where another zone counts as `zoneCost` requests.
   */
  #choose(service: ServiceDefinition, tried: ReadonlySet<string>): BackEnd | undefined {
    const eligible = service.backEnds.filter(
      (backEnd) => !tried.has(backEnd.url) && !this.#options.isLeaving(backEnd.machine),
    );
    return this.#options.random
      .shuffle(eligible)
      .sort((a, b) => this.#cost(a) - this.#cost(b))
      .at(0);
  }

  #cost(backEnd: BackEnd): number {
    const failingCost = 1_000_000;
    const zoneCost = 4;
    const state = this.#state(backEnd);
    const failing = state.failingUntilMs > this.#options.clock.now() ? failingCost : 0;
    return failing + (backEnd.zone === this.#options.zone ? 0 : zoneCost) + state.inFlight;
  }

  #state(backEnd: BackEnd): BackEndState {
    let state = this.#states.get(backEnd.url);
    if (state === undefined) {
      state = { inFlight: 0, failingUntilMs: 0 };
      this.#states.set(backEnd.url, state);
    }
    return state;
  }
}

function toServiceRequest(call: ServiceCall): Parameters<ServiceClient['call']>[1] {
  const headers: Record<string, string> = { 'x-request-id': call.options.requestId };
  for (const name of FORWARDED_HEADERS) {
    const value = call.inbound.headers[name];
    if (value !== undefined) headers[name] = value;
  }
  const { method, body } = call.inbound;
  return { requestId: call.options.requestId, method, path: call.path, headers, body };
}
