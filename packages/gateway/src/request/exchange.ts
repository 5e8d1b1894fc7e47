import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@canvasridge/clock';
import { pickService, type BackendService, type HttpRoute } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import { RETRY_ELSEWHERE_MS, type BackendAvailability } from '../backends/backend-availability.js';
import type { BackendConnections } from '../backends/backend-connections.js';
import type { BackendNotices } from '../backends/backend-notices.js';
import type { BackendPicker, PickResult } from '../backends/picker.js';
import type { RetryBudget } from '../backends/retry-budget.js';
import type { GatewayMetrics } from '../gateway-metrics.js';
import { AnswerSink } from './answer-sink.js';
import { detailOf, mayChooseAgain, useOutcomeOf, wasWritten } from './attempt-outcomes.js';
import { BackendAttempt, type AttemptOutcome, type HeldBack, type SilenceLimit } from './backend-attempt.js';
import { readBody } from './body.js';
import type { BodyRoom } from './body-room.js';
import type { RequestDialect, RequestFacts } from './dialect.js';
import { retryAfterOf, statusOf, type FinalAnswer } from './final-answer.js';
import { RequestAdmission, type AdmissionContext } from './request-admission.js';
import { RequestQuarantine, type QuarantineContext } from './request-quarantine.js';
import { silenceLimit } from './silence-limit.js';

/** What all exchanges of a node share. */
export interface ExchangeContext extends AdmissionContext, QuarantineContext {
  readonly clock: Clock;
  readonly dialect: RequestDialect;
  readonly connections: BackendConnections;
  readonly notices: BackendNotices;
  readonly availability: BackendAvailability;
  readonly plainPicker: BackendPicker;
  readonly enginePicker: BackendPicker;
  readonly budget: (service: string) => RetryBudget;
  /** Part of bounds on the whole fleet that this node may use, from 0 to 1. */
  readonly fleetShare: () => number;
  readonly isStopping: () => boolean;
  /** Time until this node gives up what still runs, in milliseconds; Infinity unless it stops. */
  readonly stopsInMs: () => number;
  readonly nextId: () => string;
  readonly random: () => number;
  /** How old the list of backends is, in milliseconds. */
  readonly listAgeMs: () => number;
  /** Whether that age has to be looked at again right before a request is written. */
  readonly isListTooOld: () => boolean;
  /** Brings the list of backends up to date if it is so old that one may have left unnoticed for too long. */
  readonly refreshIfOld: () => Promise<void>;
  /** How late the process runs its timers, in milliseconds. */
  readonly lagMs: () => number;
  readonly bodyRoom: BodyRoom;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/** Sends of one request at the most, those that were refused included. */
const MOST_SENDS = 5;
/** Time kept back for the answer's way to the client, so that its deadline is not passed on whole. */
const RETURN_MARGIN_MS = 10;
/** One client request from its head to its end. */
export class Exchange {
  readonly #context: ExchangeContext;
  readonly #request: IncomingMessage;
  readonly #sink: AnswerSink;
  readonly #facts: RequestFacts;
  readonly #admission: RequestAdmission;
  readonly #quarantine: RequestQuarantine;
  readonly #arrivedMs: number;
  /** Time that is left for a request that comes while its node stops, in milliseconds. */
  readonly #stopsInMs: number;
  readonly #cancel = new AbortController();
  #route: HttpRoute | undefined;
  #body: Buffer = EMPTY;
  #attempt: BackendAttempt | undefined;
  #ended = false;
  #mayHaveRun = false;
  #sends = 0;
  #runs = 0;
  #excluded: string[] = [];
  #lastEventId = -1;
  #backendId = '';
  #how = '';
  /** Age at which the last backend was picked. */
  #pickedMs: number | undefined;
  /** How old the list of backends was when the last request was written. */
  #listAgeMs: number | undefined;
  /** Age at which the last request was written. */
  #sentMs: number | undefined;

  constructor(context: ExchangeContext, request: IncomingMessage, response: ServerResponse) {
    this.#context = context;
    this.#request = request;
    this.#arrivedMs = context.clock.now();
    this.#stopsInMs = context.stopsInMs();
    this.#facts = context.dialect.readRequest(request.headers);
    this.#admission = new RequestAdmission(context, this.#facts);
    this.#quarantine = new RequestQuarantine(context, this.#facts.attemptId ?? 'none', () => ({
      host: request.headers.host ?? '',
      target: request.url ?? '',
      tenant: this.#admission.tenant,
      body: this.#body,
    }));
    this.#lastEventId = this.#facts.lastEventId ?? -1;
    this.#sink = new AnswerSink(response, context.isStopping);
    response.on('close', () => {
      if (!response.writableFinished) this.#clientLeft();
    });
  }

  /** Serves the request; resolves when its last answer was given, and never rejects. */
  async run(): Promise<void> {
    try {
      await this.#run();
    } catch (cause) {
      this.#fail(String(cause));
    }
  }

  async #run(): Promise<void> {
    const routes = this.#context.fleet.routes;
    if (routes === undefined) {
      this.#answer({ kind: 'not-ready' });
      return;
    }
    const target = this.#request.url ?? '';
    const route = routes.find(this.#request.headers.host ?? '', target);
    if (route === undefined) {
      this.#answer({ kind: 'no-route' });
      return;
    }
    this.#route = route;
    if (!this.#identified(route)) return;
    const service = routes.service(pickService(route.services, this.#context.random()) ?? '');
    if (service === undefined) {
      this.#answer({ kind: 'not-run', reason: 'unknown-service', retryAfterMs: undefined });
      return;
    }
    const timer = this.#context.clock.setTimer(this.#timeoutMs(route), () => this.#timedOut());
    const { bodyRoom } = this.#context;
    const body = await readBody(this.#request, routes.configuration.limits.maxBodyBytes, bodyRoom);
    if (body.isErr()) {
      if (body.error.kind === 'too-large') this.#answer({ kind: 'body-too-large' });
      else if (body.error.kind === 'no-room') this.#refuse('no-room-for-body', RETRY_AFTER_REFUSAL_MS);
    } else {
      this.#body = body.value;
      await this.#serve(route, service).finally(() => bodyRoom.giveBack(body.value.length));
    }
    timer.cancel();
  }

  /** Refuses a request that comes when its node takes no more: other nodes can serve it at once. */
  refuseLate(): void {
    this.#answer({ kind: 'not-run', reason: 'stopping', retryAfterMs: RETRY_ELSEWHERE_MS });
  }

  /** Ends the request, as its node's time is over: with an answer, unless one has begun and can only be broken off. */
  giveUp(): void {
    if (!this.#sink.started) this.#timedOut();
  }

  async #serve(route: HttpRoute, service: BackendService): Promise<void> {
    // Looked for before it is charged, and again before each send: other nodes may have told of it meanwhile.
    if (this.#isKeptBack() || !(await this.#charged())) return;
    this.#context.budget(service.name).countRequest();
    while (!this.#ended) {
      if (this.#isKeptBack() || this.#isOverdue(route)) return;
      if (!this.#identified(route)) return;
      const picked = await this.#pick(route, service);
      if (this.#ended) {
        if (picked.kind === 'picked') picked.finish('cancelled');
        return;
      }
      if (picked.kind === 'none') {
        this.#refuse(picked.reason, picked.retryAfterMs);
        return;
      }
      await this.#context.refreshIfOld();
      const outcome = await this.#send(route, service, picked);
      picked.finish(useOutcomeOf(outcome));
      if (this.#ended || this.#isFinal(outcome, route)) return;
      if (!this.#mayRetry(route, service, outcome)) return;
    }
  }

  /** Ends a request whose time is over though its timer has not run yet, as in a process that was held up. */
  #isOverdue(route: HttpRoute): boolean {
    if (this.#leftMs(route) > 0) return false;
    this.#timedOut();
    return true;
  }

  /** Ends a request under which too many backends broke off: it is not what they were struck by, but what struck them. */
  #isKeptBack(): boolean {
    const { keptMs } = this.#quarantine;
    if (keptMs === undefined) return false;
    this.#refuse('quarantined', keptMs);
    return true;
  }

  /** Finds out for whom the request runs; answers it if that can't be told, or gives no right. */
  #identified(route: HttpRoute): boolean {
    const problem = this.#admission.identify(route);
    if (problem === undefined) return true;
    if (problem === 'no-key' || problem === 'unknown-key') {
      this.#refuseWith({ kind: 'unauthorized', detail: problem }, problem);
    } else {
      // Another node may know more, but not of an entry that is unreadable for all.
      this.#refuse(problem, problem === 'stale' ? RETRY_ELSEWHERE_MS : undefined);
    }
    return false;
  }

  /** Counts the request of its tenant's quota; answers it if there is nothing left. */
  async #charged(): Promise<boolean> {
    const decision = await this.#admission.charge();
    if (this.#ended) this.#refundUnlessRun();
    else if (decision.kind === 'refused') {
      this.#answer({ kind: 'over-quota', retryAfterMs: decision.retryAfterMs });
    }
    return !this.#ended;
  }

  #refundUnlessRun(): void {
    if (!this.#mayHaveRun && this.#attempt?.sent !== true) this.#admission.refund();
  }

  #pick(route: HttpRoute, service: BackendService): Promise<PickResult> {
    const picker = service.engine === undefined ? this.#context.plainPicker : this.#context.enginePicker;
    const context = {
      id: this.#context.nextId(),
      traceId: this.#facts.attemptId ?? 'none',
      route,
      service,
      tenant: this.#admission.tenant,
      priority: this.#admission.priority(route),
      generation: this.#facts.generation,
      ageMs: this.#ageMs(),
      timeoutMs: this.#timeoutMs(route),
      startWithinMs: this.#startWithinMs(route),
      excluded: this.#excluded,
    };
    return picker.pick(context, this.#cancel.signal);
  }

  async #send(
    route: HttpRoute,
    service: BackendService,
    picked: PickResult & { kind: 'picked' },
  ): Promise<AttemptOutcome> {
    const { backend } = picked;
    const { dialect, connections, clock, fleet, availability } = this.#context;
    this.#backendId = backend.id;
    this.#how = picked.how;
    this.#pickedMs = this.#ageMs();
    this.#sends += 1;
    if (this.#ended) return { kind: 'cancelled' };
    if (fleet.isLeaving(backend.id)) return { kind: 'not-run', reason: 'leaving' };
    if (availability.isBackingOff(backend.id)) return { kind: 'not-run', reason: 'backing-off' };
    const connection = connections.take(backend, service.maxConnections, this.#context.fleetShare());
    if (connection === undefined) return { kind: 'not-run', reason: 'no-connection' };
    const lastEventId = this.#lastEventId >= 0 ? this.#lastEventId : undefined;
    const attempt = new BackendAttempt(
      {
        connection,
        dialect,
        clock,
        method: this.#request.method ?? 'GET',
        path: this.#request.url ?? '/',
        headers: dialect.forwardHeaders(this.#request.rawHeaders, {
          deadlineMs: Math.max(1, Math.floor(this.#leftMs(route) - RETURN_MARGIN_MS)),
          backendId: backend.id,
          lastEventId,
          priority: service.engine === undefined ? undefined : this.#admission.priority(route),
          identity: this.#admission.identity,
        }),
        body: this.#body,
        attemptId: this.#facts.attemptId ?? '',
        stream: route.kind === 'stream',
        lastEventId: this.#lastEventId,
        silence: this.#silence(route, backend.id),
        heldBack: () => this.#heldBack(route, backend.id),
        onNotice: (notice) => this.#context.notices.heard(backend.id, notice, picked.isRateCounted),
        onHeard: () => connections.heard(backend.id, clock.now()),
        onStarted: picked.started,
      },
      this.#sink,
    );
    this.#attempt = attempt;
    const outcome = await attempt.run();
    this.#attempt = undefined;
    const isWhole = outcome.kind === 'complete' || outcome.kind === 'failure' || outcome.kind === 'not-run';
    connections.release(backend.id, connection, isWhole);
    this.#lastEventId = attempt.lastEventId;
    if (outcome.kind !== 'not-run') {
      this.#mayHaveRun ||= attempt.sent;
      this.#runs += 1;
    }
    await this.#quarantine.attemptEnded(backend.id, attempt, outcome);
    return outcome;
  }

  /** Looks at all that may have changed while the request waited for its connection, or the process for processor time. */
  #heldBack(route: HttpRoute, backendId: string): HeldBack | undefined {
    const isAllowed =
      this.#leftMs(route) > 0 &&
      this.#admission.isStillIdentified(route) &&
      this.#quarantine.keptMs === undefined;
    this.#sentMs = this.#ageMs();
    this.#listAgeMs = this.#context.listAgeMs();
    if (!isAllowed) return 'not-allowed';
    if (this.#context.fleet.isLeaving(backendId)) return 'leaving';
    if (this.#context.availability.isBackingOff(backendId)) return 'backing-off';
    return this.#context.isListTooOld() ? 'old-list' : undefined;
  }

  /** Ends the exchange if the outcome ends it. */
  #isFinal(outcome: AttemptOutcome, route: HttpRoute): boolean {
    switch (outcome.kind) {
      case 'complete':
        this.#finished('complete', outcome.status);
        return true;
      case 'cancelled':
        return true;
      case 'failure':
        if (this.#isRepeatable(route) && this.#runs < route.attempts && !this.#sink.started) return false;
        this.#passFailure(outcome);
        return true;
      case 'not-run':
      case 'broken':
        return false;
    }
  }

  #passFailure(outcome: AttemptOutcome & { kind: 'failure' }): void {
    if (this.#sink.started) {
      this.#breakOff('failure after a part of a stream');
      return;
    }
    this.#sink.start(outcome.status, outcome.headers, outcome.body.length);
    this.#sink.end(outcome.body);
    this.#finished('backend-failure', outcome.status);
  }

  /** Whether another send is allowed and of use; gives the final answer if not. */
  #mayRetry(route: HttpRoute, service: BackendService, outcome: AttemptOutcome): boolean {
    const repeats = outcome.kind !== 'not-run';
    if (repeats && (!this.#isRepeatable(route) || this.#runs >= route.attempts)) {
      this.#giveUp(outcome);
      return false;
    }
    const costsRetry = wasWritten(outcome);
    if (this.#sends >= MOST_SENDS || (costsRetry && !this.#context.budget(service.name).take())) {
      this.#giveUp(outcome);
      return false;
    }
    // One that named a time is left alone for that, and may be tried again after it.
    const isTimed = this.#context.availability.isBackingOff(this.#backendId);
    if (!mayChooseAgain(outcome) && !isTimed) this.#excluded = [...this.#excluded, this.#backendId];
    this.#context.metrics.retries.inc({ service: service.name });
    this.#context.telemetry.event('info', 'request.retried', this.#facts.attemptId ?? '', {
      after: outcome.kind,
      detail: detailOf(outcome),
      backend: this.#backendId,
      ageMs: Math.round(this.#ageMs()),
    });
    return true;
  }

  #giveUp(outcome: AttemptOutcome): void {
    if (this.#sink.started) this.#breakOff(detailOf(outcome));
    else if (outcome.kind === 'failure') this.#passFailure(outcome);
    else if (this.#mayHaveRun) this.#answer({ kind: 'outcome-unknown', detail: detailOf(outcome) });
    else this.#refuse(detailOf(outcome), RETRY_AFTER_REFUSAL_MS);
  }

  #refuse(reason: string, retryAfterMs: number | undefined): void {
    this.#refuseWith({ kind: 'not-run', reason, retryAfterMs }, reason);
  }

  /** Ends the request with an answer that says it has not run, where that is true. */
  #refuseWith(answer: FinalAnswer, reason: string): void {
    if (this.#sink.started) this.#breakOff(reason);
    else if (this.#mayHaveRun) this.#answer({ kind: 'outcome-unknown', detail: reason });
    else this.#answer(answer);
  }

  /** Ends the request after a defect of this program, with an answer if none has begun. */
  #fail(detail: string): void {
    this.#context.telemetry.event('error', 'request.defect', this.#facts.attemptId ?? 'none', { detail });
    if (this.#ended) return;
    this.#mayHaveRun ||= this.#attempt?.sent === true;
    this.#refuse('defect', undefined);
    this.#stopWork();
  }

  #timedOut(): void {
    if (this.#ended) return;
    const mayHaveRun = this.#mayHaveRun || this.#attempt?.sent === true;
    if (this.#sink.started) this.#breakOff('timed out');
    else this.#answer({ kind: 'timed-out', mayHaveRun });
    this.#stopWork();
  }

  #clientLeft(): void {
    if (this.#ended) return;
    this.#finished('client-left', 0);
    this.#stopWork();
  }

  #stopWork(): void {
    this.#cancel.abort();
    this.#attempt?.cancel();
  }

  #breakOff(detail: string): void {
    this.#sink.breakOff();
    this.#finished(`broken-off: ${detail}`, 0);
  }

  #answer(answer: FinalAnswer): void {
    if (this.#ended) return;
    const status = statusOf(answer);
    const headers = this.#context.dialect.refusalHeaders(retryAfterOf(answer));
    this.#sink.answer(status, headers, `${answer.kind}\n`);
    const detail = 'reason' in answer ? answer.reason : 'detail' in answer ? answer.detail : '';
    this.#finished(detail === '' ? answer.kind : `${answer.kind}: ${detail}`, status);
  }

  #finished(outcome: string, status: number): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#refundUnlessRun();
    const { telemetry, metrics, fleet } = this.#context;
    const ageMs = this.#ageMs();
    const firstByteMs = this.#sink.firstByteMs;
    metrics.requests.inc({ route_kind: this.#route?.kind ?? 'none', status: String(status) });
    metrics.countTenant(this.#admission.tenant, status);
    if (firstByteMs !== undefined) metrics.firstByte.observe((firstByteMs - this.#arrivedMs) / 1000);
    telemetry.event('info', 'request.finished', this.#facts.attemptId ?? 'none', {
      outcome,
      status,
      route: this.#route?.name,
      tenant: this.#admission.tenant,
      adapter: this.#facts.generation?.adapter,
      backend: this.#backendId === '' ? undefined : this.#backendId,
      how: this.#how === '' ? undefined : this.#how,
      sends: this.#sends,
      pickedMs: this.#pickedMs === undefined ? undefined : Math.round(this.#pickedMs),
      sentMs: this.#sentMs === undefined ? undefined : Math.round(this.#sentMs),
      listAgeMs: this.#listAgeMs === undefined ? undefined : Math.round(this.#listAgeMs),
      lagMs: Math.round(this.#context.lagMs()),
      ageMs: Math.round(ageMs),
      firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs - this.#arrivedMs),
      configuration: fleet.configurationVersion,
    });
  }

  #isRepeatable(route: HttpRoute): boolean {
    return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
  }

  /** The last attempt that is allowed has no limit of its own. */
  #silence(route: HttpRoute, backendId: string): SilenceLimit | undefined {
    if (!this.#isRepeatable(route) || this.#runs + 1 >= route.attempts) return undefined;
    return silenceLimit(route, () => this.#context.connections.heardMs(backendId));
  }

  #timeoutMs(route: HttpRoute): number {
    return Math.min(route.timeoutMs, this.#facts.deadlineMs ?? Infinity, this.#stopsInMs);
  }

  /** Clients give a stream up that shows no event for long, whatever their deadline. */
  #startWithinMs(route: HttpRoute): number {
    const sinceMs = this.#sink.started ? this.#ageMs() : 0;
    return Math.min(this.#timeoutMs(route), sinceMs + (route.patienceMs ?? Infinity));
  }

  #leftMs(route: HttpRoute): number {
    return this.#timeoutMs(route) - this.#ageMs();
  }

  #ageMs(): number {
    return this.#context.clock.now() - this.#arrivedMs;
  }
}

const EMPTY: Buffer = Buffer.alloc(0);
const RETRY_AFTER_REFUSAL_MS = 300;
