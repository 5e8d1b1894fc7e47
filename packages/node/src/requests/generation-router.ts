import { Backoff, type Clock, type Random } from '@canvasridge/clock';
import {
  Header,
  formatModelName,
  problem,
  type AdapterRef,
  type CallerDefinition,
  type EngineRequest,
  type Executed,
  type Problem,
  type ProblemCode,
} from '@canvasridge/domain';
import type { RetryBudget } from '@canvasridge/admission';
import type { ForwardClient, ForwardError } from '@canvasridge/http-bindings';
import type { Telemetry } from '@canvasridge/telemetry';
import type { EngineChoice, EngineFleet } from '../control/engine-fleet.js';
import type { SchedulerError } from '../scheduling/engine-work.js';
import type { RelaySink, RequestEnd, RequestOptions } from './inbound.js';
import { refused } from './inbound.js';
import type { StreamTokens } from './stream-tokens.js';

/** An admitted generation request. */
export interface Generation {
  readonly path: EngineRequest['path'];
  readonly model: AdapterRef;
  readonly body: Uint8Array;
  readonly caller: CallerDefinition;
  readonly options: RequestOptions;
}

/** Result of one attempt. */
type AttemptOutcome =
  | { readonly kind: 'done' }
  /**
   * Proved not to have run. `final` rules out another attempt; `cost` says whether one draws on the retry
   * budget.
   */
  | {
      readonly kind: 'not-executed';
      readonly code: ProblemCode;
      readonly cost: 'free' | 'budget';
      readonly final: boolean;
    }
  /** May have run; `lastEventId` is that of the last event received, or -1. */
  | { readonly kind: 'unknown'; readonly lastEventId: number };

export interface GenerationRouterOptions {
  readonly fleet: EngineFleet;
  readonly forward: ForwardClient;
  readonly budget: RetryBudget;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly streams: StreamTokens;
  readonly newEngineRequestId: (requestId: string) => string;
}

const RETRY_BACKOFF = { initialMs: 40, maximumMs: 500 } as const;
/** How long to wait for a usable engine, for example while ownership of one is transferred. */
const ENGINE_WAIT_MS = 12_000;
/** Includes the rounds in which no usable engine was found. */
const MAX_ATTEMPTS = 40;
const RESUME_ATTEMPTS = 4;
const RESUME_BACKOFF = { initialMs: 50, maximumMs: 1000 } as const;
const RETRY_AFTER_SECONDS = 1;

/**
 * Runs a generation: chooses an engine, submits the request to the local scheduler or forwards it to the
 * engine's owner, retries attempts that are proved not to have run, and resumes interrupted streams. A
 * request that may have run is repeated only if it is repeatable and no part of the response has reached the
 * caller.
 */
export class GenerationRouter {
  readonly #options: GenerationRouterOptions;

  constructor(options: GenerationRouterOptions) {
    this.#options = options;
  }

  async run(generation: Generation, sink: RelaySink, signal: AbortSignal): Promise<RequestEnd> {
    const { clock, random, budget, telemetry } = this.#options;
    const { options } = generation;
    const startedAtMs = clock.now();
    const backoff = new Backoff(RETRY_BACKOFF, random);
    const excluded = new Set<string>();
    let lastCode: ProblemCode = 'no-engine';
    // Once an attempt may have run, a later refusal must not report this request as not executed.
    let executed: Executed = 'no';
    budget.deposit();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (signal.aborted) return refused(problem('cancelled', executed));
      if (clock.now() >= options.deadlineAtMs) return refused(problem('deadline-passed', executed));
      const choice = this.#options.fleet.choose(generation.model, excluded);
      if (choice === undefined) {
        // If no engine is excluded, waits for a usable one for up to ENGINE_WAIT_MS. If all have refused,
        // they are tried again: in the first rounds only, except where the last refusal was `not-owner`.
        if (excluded.size === 0 && clock.now() - startedAtMs > ENGINE_WAIT_MS) break;
        if (excluded.size > 0 && lastCode !== 'not-owner' && attempt > 2) break;
        excluded.clear();
        await clock.sleep(backoff.nextDelayMs(), signal);
        continue;
      }
      const outcome = await this.#attempt(generation, choice, sink, signal);
      if (outcome.kind === 'done') return { kind: 'completed' };
      if (outcome.kind === 'unknown') {
        executed = 'unknown';
        const end = await this.#handleUnknown(generation, sink, signal);
        if (end !== 'retry') return end;
      } else {
        lastCode = outcome.code;
        if (outcome.final) break;
        excluded.add(choice.engine.id);
      }
      if (outcome.kind === 'unknown' || outcome.cost === 'budget') {
        if (!budget.withdraw()) break;
        telemetry.metrics.count('requests.retried');
      }
      await clock.sleep(backoff.nextDelayMs(), signal);
    }
    return refused(problem(lastCode, executed, { retryAfterSeconds: RETRY_AFTER_SECONDS }));
  }

  // --- one attempt -------------------------------------------------------------------------------

  async #attempt(
    generation: Generation,
    choice: EngineChoice,
    sink: RelaySink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const { newEngineRequestId, telemetry, clock } = this.#options;
    const { options } = generation;
    const engineRequestId = newEngineRequestId(options.requestId);
    if (options.resumable) {
      const streamRef = { engineId: choice.engine.id, engineRequestId, caller: generation.caller.name };
      sink.setHeader(Header.stream, this.#options.streams.issue(streamRef));
    }
    const startedAtMs = clock.wallTime();
    const outcome =
      choice.scheduler === undefined
        ? await this.#forward(generation, choice, engineRequestId, sink, signal)
        : await this.#submit(generation, choice, engineRequestId, sink, signal);
    telemetry.step(`attempt.${outcome.kind}`, options.requestId, choice.engine.id, startedAtMs);
    if (outcome.kind !== 'unknown' || !sink.started) return outcome;
    return this.#resume(choice, engineRequestId, outcome.lastEventId, sink, signal);
  }

  async #submit(
    generation: Generation,
    choice: EngineChoice,
    engineRequestId: string,
    sink: RelaySink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const { clock, fleet } = this.#options;
    const startedAtMs = clock.now();
    const result = await choice.scheduler?.submit(
      {
        request: {
          requestId: engineRequestId,
          path: generation.path,
          model: generation.model,
          body: generation.body,
          priority: generation.options.priority,
          onDisconnect: generation.options.resumable ? 'keep' : 'cancel',
        },
        caller: generation.caller.name,
        weight: generation.caller.weight,
        deadlineAtMs: generation.options.deadlineAtMs,
        onDispatch: (stallMs) => sink.setHeader(Header.loadStallMs, String(Math.round(stallMs))),
      },
      sink,
      signal,
    );
    if (result === undefined) return { kind: 'not-executed', code: 'not-owner', cost: 'free', final: false };
    if (result.isErr()) return schedulerOutcome(result.error);
    fleet.observeServiceTime((clock.now() - startedAtMs) / 1000);
    return { kind: 'done' };
  }

  async #forward(
    generation: Generation,
    choice: EngineChoice,
    engineRequestId: string,
    sink: RelaySink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const { clock, fleet, forward, telemetry } = this.#options;
    const { engine, owner } = choice;
    telemetry.metrics.count('requests.forwarded');
    fleet.remoteEngines.requestSent(
      engine.id,
      `${generation.model.adapter}@${generation.model.version}`,
      clock.now(),
    );
    const result = await forward.forward(
      {
        peerUrl: owner.peerUrl,
        path: generation.path,
        engineId: engine.id,
        requestId: engineRequestId,
        caller: generation.caller.name,
        priority: generation.options.priority,
        deadlineMs: generation.options.deadlineAtMs - clock.now(),
        model: formatModelName(generation.model),
        body: generation.body,
        onDisconnect: generation.options.resumable ? 'keep' : 'cancel',
      },
      sink,
      signal,
    );
    fleet.remoteEngines.requestEnded(engine.id);
    if (result.isOk()) return { kind: 'done' };
    if (result.error.kind === 'unreachable' || isNotOwner(result.error))
      fleet.remoteEngines.removeIfOwnedBy(engine.id, owner.id);
    return forwardOutcome(result.error);
  }

  /**
   * Resumes a stream directly at the engine. Reading an existing stream starts no work, so any node may do
   * it.
   */
  async #resume(
    choice: EngineChoice,
    engineRequestId: string,
    lastEventId: number,
    sink: RelaySink,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const { clock, random, fleet, telemetry } = this.#options;
    const client = fleet.clientOf(choice.engine);
    const backoff = new Backoff(RESUME_BACKOFF, random);
    let position = lastEventId;
    // A response that is not an event stream has no position to resume from.
    if (!sink.isEventStream) return { kind: 'unknown', lastEventId: position };
    for (let attempt = 0; attempt < RESUME_ATTEMPTS && !signal.aborted; attempt += 1) {
      await clock.sleep(backoff.nextDelayMs(), signal);
      const result = await client.resume(engineRequestId, position, sink, signal);
      if (result.isOk()) {
        telemetry.metrics.count('requests.resumed');
        return { kind: 'done' };
      }
      if (result.error.kind === 'broken') position = Math.max(position, result.error.lastEventId);
      if (result.error.kind === 'rejected') break;
    }
    return { kind: 'unknown', lastEventId: position };
  }

  async #handleUnknown(
    generation: Generation,
    sink: RelaySink,
    signal: AbortSignal,
  ): Promise<RequestEnd | 'retry'> {
    if (signal.aborted) return refused(problem('cancelled', 'unknown'));
    if (sink.started) return { kind: 'broken-off', problem: problem('back-end-failed', 'unknown') };
    if (generation.options.repeatable) return 'retry';
    return refused(problem('outcome-unknown', 'unknown'));
  }
}

function schedulerOutcome(error: SchedulerError): AttemptOutcome {
  switch (error.kind) {
    case 'queue-full':
      return { kind: 'not-executed', code: 'overloaded', cost: 'free', final: false };
    case 'not-owner':
      return { kind: 'not-executed', code: 'not-owner', cost: 'free', final: false };
    case 'load-failed':
      return { kind: 'not-executed', code: 'load-failed', cost: 'budget', final: false };
    case 'deadline-passed':
      return { kind: 'not-executed', code: 'deadline-passed', cost: 'free', final: true };
    case 'cancelled':
      return { kind: 'not-executed', code: 'cancelled', cost: 'free', final: true };
    case 'engine':
      return engineOutcome(error);
  }
}

function engineOutcome(error: SchedulerError & { kind: 'engine' }): AttemptOutcome {
  const { cause } = error;
  if (cause.executed === 'unknown') {
    return { kind: 'unknown', lastEventId: cause.kind === 'broken' ? cause.lastEventId : -1 };
  }
  if (cause.kind === 'rejected')
    return { kind: 'not-executed', code: 'malformed-request', cost: 'free', final: true };
  return { kind: 'not-executed', code: 'no-engine', cost: 'budget', final: false };
}

function isNotOwner(error: ForwardError): boolean {
  return error.kind === 'refused' && error.problem.code === 'not-owner';
}

function forwardOutcome(error: ForwardError): AttemptOutcome {
  switch (error.kind) {
    case 'unreachable':
      return { kind: 'not-executed', code: 'no-engine', cost: 'budget', final: false };
    case 'broken':
      return { kind: 'unknown', lastEventId: error.lastEventId };
    case 'refused':
      return refusalOutcome(error.problem);
  }
}

const FINAL_REFUSALS: ReadonlySet<ProblemCode> = new Set([
  'deadline-passed',
  'malformed-request',
  'cancelled',
]);

function refusalOutcome(document: Problem): AttemptOutcome {
  if (document.executed === 'unknown') return { kind: 'unknown', lastEventId: -1 };
  const { code } = document;
  return { kind: 'not-executed', code, cost: 'budget', final: FINAL_REFUSALS.has(code) };
}
