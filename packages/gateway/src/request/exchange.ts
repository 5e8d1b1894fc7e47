import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  pickService,
  type BackendDescription,
  type BackendService,
  type HttpRoute,
} from '@canvasridge/serving';
import type { StreamProgress, UseOutcome } from '@canvasridge/slots';
import { RETRY_ELSEWHERE_MS } from '../backends/backend-availability.js';
import type { PickResult, PickedBackend } from '../backends/picker.js';
import { RequestRecord } from './request-record.js';
import { RequestTimes } from './request-times.js';
import { limitRest } from './rest-limit.js';
import { ResponseSink } from './response-sink.js';
import {
  describeOutcome,
  isPathFailure,
  isRelayFailure,
  mayReuseBackend,
  mayStillRun,
  useOutcomeOf,
  wasWritten,
} from './attempt-outcomes.js';
import {
  BackendAttempt,
  type AttemptOutcome,
  type NotRunReason,
  type InactivityLimit,
} from './backend-attempt.js';
import { backendDeadlineMs } from './backend-deadline.js';
import type { BackendHop } from './backend-hop.js';
import { readBody } from './body.js';
import { areHeadersTooLarge } from './header-size.js';
import { hasClientLeft } from './client-presence.js';
import type { RequestFacts } from './dialect.js';
import { retryAfterOf, statusOf, type GatewayResponse } from './gateway-response.js';
import { RequestAdmission } from './request-admission.js';
import type { UnableCause } from './serving-outage.js';
import { PART_START_PHASE_MS, RequestQuarantine } from './request-quarantine.js';
import { StreamBinding } from './stream-binding.js';
import { inactivityLimit } from './inactivity-limit.js';
import {
  ReplacementSearch,
  releaseReplacement,
  type Replacement,
  type SearchedRequest,
} from './replacement-search.js';
import { spreadRetryMs } from './retry-spread.js';
import type { ExchangeContext } from './exchange-context.js';
import { recordSilence, type SilenceResult } from './silence-record.js';
import { WriteCheck } from './write-check.js';

/** Maximum number of attempts to send one request, including those that were refused. */
const MAX_SENDS = 5;

/** How a request was sent once; without an attempt if it was not given to a connection. */
interface EndedSend {
  readonly attempt?: BackendAttempt;
  readonly outcome: AttemptOutcome;
}

/** Handles one client request from its headers to the end of its response. */
export class Exchange {
  readonly #context: ExchangeContext;
  readonly #request: IncomingMessage;
  readonly #sink: ResponseSink;
  readonly #facts: RequestFacts;
  readonly #admission: RequestAdmission;
  readonly #quarantine: RequestQuarantine;
  readonly #binding: StreamBinding;
  readonly #writeCheck: WriteCheck;
  readonly #times: RequestTimes;
  readonly #record: RequestRecord;
  readonly #cancel = new AbortController();
  #body: Buffer = EMPTY_BODY;
  #attempt: BackendAttempt | undefined;
  /** Looks for what may take over from the attempt; undefined unless that has been silent. */
  #search: ReplacementSearch | undefined;
  /** A backend's error response, kept while a retry is prepared: it is forwarded if there is none. */
  #keptFailure: (AttemptOutcome & { readonly kind: 'failure' }) | undefined;
  #ended = false;
  #mayHaveRun = false;
  /** Attempts so far in which a backend ran the request, or may have run it. */
  #runs = 0;
  #excluded: string[] = [];
  /** Backends whose attempts were given up because they sent nothing. */
  readonly #silent: string[] = [];
  /** Nodes that could not relay this request. */
  readonly #excludedRelays = new Set<string>();
  /** Whether the last attempt failed because this node has lost its path to all backends of the service. */
  #isOwnFailure = false;
  /** Whether that was so for any attempt. */
  #hasOwnFailure = false;
  #lastEventId = -1;
  /** How fast the events of the last attempt came. */
  #progress: StreamProgress | undefined;
  /** What takes over from the last attempt, which was given up for it. */
  #replacement: Replacement | undefined;
  /** How long the last attempt had received nothing when it ended, in milliseconds. */
  #silentMs: number | undefined;

  /** @param waitedMs how long the request waited for the responses before it on its connection */
  constructor(context: ExchangeContext, request: IncomingMessage, response: ServerResponse, waitedMs = 0) {
    this.#context = context;
    this.#request = request;
    this.#facts = context.dialect.readRequest(request.headers);
    this.#times = new RequestTimes(context, this.#facts.deadlineMs, waitedMs);
    this.#record = new RequestRecord(context, this.#facts, this.#times);
    this.#admission = new RequestAdmission(context, this.#facts);
    const { attemptId = 'none', sharedParts } = this.#facts;
    this.#quarantine = new RequestQuarantine(context, attemptId, sharedParts, () => ({
      host: request.headers.host ?? '',
      target: request.url ?? '',
      tenant: this.#admission.tenant,
      body: this.#body,
    }));
    this.#binding = new StreamBinding(context, this.#facts);
    this.#writeCheck = new WriteCheck(context, this.#facts, {
      isAllowed: (route) => this.#isAllowed(route),
    });
    this.#lastEventId = this.#facts.lastEventId ?? -1;
    const memory = context.responseMemory.open(attemptId, () => this.#endBy(() => this.#giveWay()));
    this.#sink = new ResponseSink(response, memory, context.isStopping);
    response.on('close', () => {
      if (!response.writableFinished) this.#endBy(() => this.#onClientLeft());
    });
  }

  /** Serves the request; resolves when the exchange has ended, and never rejects. */
  async run(): Promise<void> {
    try {
      await this.#run();
    } catch (cause) {
      this.#failOnDefect(cause);
    } finally {
      this.#dropReplacement();
    }
  }

  async #run(): Promise<void> {
    const routes = this.#context.fleet.routes;
    if (routes === undefined) {
      this.#respond({ kind: 'not-ready', retryAfterMs: this.#outageRetryMs('not-ready') });
      return;
    }
    if (areHeadersTooLarge(this.#request, routes.configuration.limits.maxHeaderBytes)) {
      this.#respond({ kind: 'headers-too-large' });
      return;
    }
    const target = this.#request.url ?? '';
    const route = routes.find(this.#request.headers.host ?? '', target);
    if (route === undefined) {
      this.#respond({ kind: 'no-route' });
      return;
    }
    this.#record.route = route;
    if (!this.#identifyOrRefuse(route)) return;
    const service = routes.service(pickService(route.services, this.#context.random()) ?? '');
    if (service === undefined) {
      this.#respond({ kind: 'not-run', reason: 'unknown-service', retryAfterMs: undefined });
      return;
    }
    const timeOut = (): void => this.#endBy(() => this.#onTimeout());
    const timer = this.#context.clock.setTimer(Math.max(0, this.#times.remainingMs(route)), timeOut);
    try {
      await this.#readAndServe(route, service, routes.configuration.limits.maxBodyBytes);
    } finally {
      timer.cancel();
    }
  }

  async #readAndServe(route: HttpRoute, service: BackendService, maxBodyBytes: number): Promise<void> {
    const { bodies, readTurns } = this.#context;
    const { signal } = this.#cancel;
    const id = this.#facts.attemptId ?? 'none';
    const body = await readBody(this.#request, { limitBytes: maxBodyBytes, bodies, readTurns, id, signal });
    if (body.isErr()) {
      if (body.error.kind === 'too-large') this.#respond({ kind: 'body-too-large' });
      else if (body.error.kind === 'no-room') this.#refuse('no-room-for-body', RETRY_AFTER_REFUSAL_MS);
      else if (body.error.kind === 'stalled') this.#refuse('body-stalled', RETRY_AFTER_REFUSAL_MS);
    } else {
      this.#body = body.value.bytes;
      await this.#serve(route, service).finally(() => {
        // The response may wait for its client long after this.
        this.#body = EMPTY_BODY;
        body.value.release();
      });
    }
  }

  /** Refuses a request that arrives when the node accepts no more: other nodes can serve it at once. */
  refuseStopping(): void {
    this.#respond({ kind: 'not-run', reason: 'stopping', retryAfterMs: RETRY_ELSEWHERE_MS });
  }

  /**
   * Ends the request at the node's stop deadline with a timeout response, unless a response has already
   * started: that is cut off when the node closes its connections.
   */
  endAtStop(): void {
    if (!this.#sink.started) this.#endBy(() => this.#onTimeout());
  }

  async #serve(route: HttpRoute, service: BackendService): Promise<void> {
    // Quarantine is checked before the quota is charged, and again before each send, as other nodes may
    // have reported the request in the meantime.
    if (this.#refuseIfQuarantined() || !(await this.#bindOrRefuse(route, service))) return;
    if (!(await this.#chargeOrRefuse())) return;
    this.#context.budget(service.name).countRequest();
    let lastRun: AttemptOutcome | undefined;
    let replacement: Replacement | undefined;
    while (!this.#ended) {
      const picked = replacement?.picked ?? (await this.#pickOrEnd(route, service, lastRun));
      if (picked === undefined) return;
      const outcome = await this.#sendOnce(route, service, picked, replacement?.hop);
      replacement = this.#takeReplacement();
      if (this.#ended || this.#endIfFinal(outcome, route)) return;
      if (replacement === undefined && !this.#mayRetryOrEnd(route, service, outcome)) return;
      this.#recordRetry(service, outcome);
      if (outcome.kind !== 'not-run') lastRun = outcome;
    }
  }

  /** Picks a backend for the next attempt; undefined if the request has ended. */
  async #pickOrEnd(
    route: HttpRoute,
    service: BackendService,
    lastRun: AttemptOutcome | undefined,
  ): Promise<PickedBackend | undefined> {
    if (this.#mayHaveRun && this.#keptFailure === undefined) {
      const leftMs = this.#startWithinMs(route) - this.#times.ageMs;
      await this.#admission.waitWhileStale(route, leftMs, this.#cancel.signal);
      if (this.#ended) return undefined;
    }
    if (this.#refuseIfQuarantined() || this.#timeOutIfOverdue(route)) return undefined;
    if (!this.#identifyOrRefuse(route)) return undefined;
    const picked = await this.#pickForRetry(route, service);
    if (picked.kind === 'none') {
      if (!this.#ended) this.#refuse(picked.reason, picked.retryAfterMs);
      return undefined;
    }
    let isUsed = false;
    try {
      isUsed = !this.#ended && (lastRun === undefined || (await this.#chargeRetryOrEnd(lastRun)));
    } finally {
      if (!isUsed) picked.finish('cancelled');
    }
    return isUsed ? picked : undefined;
  }

  /** The replacement for which the last attempt was given up, if there is one. */
  #takeReplacement(): Replacement | undefined {
    if (this.#ended) this.#dropReplacement();
    const replacement = this.#replacement;
    this.#replacement = undefined;
    replacement?.charge.use();
    return replacement;
  }

  #dropReplacement(): void {
    const replacement = this.#replacement;
    this.#replacement = undefined;
    if (replacement !== undefined) this.#guard(() => releaseReplacement(replacement));
  }

  /**
   * Ends a request that is past its timeout although its timer has not fired yet, as happens when the
   * process was blocked or suspended.
   */
  #timeOutIfOverdue(route: HttpRoute): boolean {
    if (this.#times.remainingMs(route) > 0) return false;
    this.#onTimeout();
    return true;
  }

  /**
   * Refuses a quarantined request: so many backends crashed while they ran it that it is considered the
   * cause.
   */
  #refuseIfQuarantined(): boolean {
    if (!this.#quarantine.isWithheld) return false;
    this.#refuse('quarantined', spreadRetryMs(this.#quarantine.retryAfterMs, this.#context.random()));
    return true;
  }

  /**
   * Identifies the caller. If that is impossible or the caller has no access, refuses the request and
   * returns false.
   */
  #identifyOrRefuse(route: HttpRoute): boolean {
    const problem = this.#admission.identify(route);
    if (problem === undefined) return true;
    if (problem === 'no-key' || problem === 'unknown-key') {
      this.#refuseWith({ kind: 'unauthorized', detail: problem }, problem);
    } else {
      // Another node may have a newer configuration, but an unreadable entry is unreadable on every node.
      this.#refuse(problem, problem === 'stale' ? this.#outageRetryMs('stale') : undefined);
    }
    return false;
  }

  /**
   * Refuses a stream that the client resumes if no node knows which version began it. Returns false if the request has
   * ended. Without Retry-After, as no later answer would differ: the client can only begin anew.
   */
  async #bindOrRefuse(route: HttpRoute, service: BackendService): Promise<boolean> {
    const isBound = await this.#binding.resume(route, service);
    if (!isBound && !this.#ended) this.#refuse('unknown-stream-version', undefined);
    return !this.#ended;
  }

  #outageRetryMs(cause: UnableCause): number {
    const callerLeftMs = (this.#facts.deadlineMs ?? Infinity) - this.#times.ageMs;
    return this.#context.outageRetryMs(cause, callerLeftMs);
  }

  /**
   * Charges the request to its tenant's quota. If the quota is used up, refuses the request; returns false
   * if the request has ended.
   */
  async #chargeOrRefuse(): Promise<boolean> {
    const decision = await this.#admission.charge();
    if (this.#ended) this.#refundUnlessRun();
    else if (decision.kind === 'refused') {
      this.#respond({ kind: 'over-quota', retryAfterMs: decision.retryAfterMs });
    }
    return !this.#ended;
  }

  /** Charges another run, after `lastRun`, to the tenant's quota. If it is used up, ends the request; returns false if it has ended. */
  async #chargeRetryOrEnd(lastRun: AttemptOutcome): Promise<boolean> {
    const decision = await this.#admission.charge();
    if (this.#ended) this.#refundUnlessRun();
    else if (decision.kind === 'refused') this.#endWithoutRetry(lastRun);
    return !this.#ended;
  }

  #refundUnlessRun(): void {
    if (this.#attempt?.sent !== true) this.#admission.refund();
  }

  /** Picks a backend for the next attempt; one that was only silent serves if there is no other. */
  async #pickForRetry(route: HttpRoute, service: BackendService): Promise<PickResult> {
    const { signal } = this.#cancel;
    const picked = await this.#pick(route, service, signal, this.#silent);
    if (picked.kind === 'picked' || this.#silent.length === 0 || this.#ended) return picked;
    return this.#pick(route, service, signal, []);
  }

  /**
   * @param avoided backends that are excluded besides those that failed
   * @param isTakeover whether the last attempt goes on meanwhile
   */
  #pick(
    route: HttpRoute,
    service: BackendService,
    cancelled: AbortSignal,
    avoided: readonly string[],
    isTakeover = false,
  ): Promise<PickResult> {
    const picker = service.engine === undefined ? this.#context.plainPicker : this.#context.enginePicker;
    const context = {
      id: this.#context.nextId(),
      traceId: this.#facts.attemptId ?? 'none',
      route,
      service,
      tenant: this.#admission.tenant,
      priority: this.#admission.priority(route),
      generation: this.#facts.generation,
      ageMs: this.#times.ageMs,
      timeoutMs: this.#times.timeoutMs(route),
      startWithinMs: this.#startWithinMs(route),
      isContinued: this.#sink.started,
      excluded: [...this.#excluded, ...avoided],
      softwareVersion: this.#binding.version,
      isTakeover,
    };
    return picker.pick(context, cancelled);
  }

  /** One attempt at a picked backend, which is given back whatever happens. */
  async #sendOnce(
    route: HttpRoute,
    service: BackendService,
    picked: PickedBackend,
    openHop: BackendHop | undefined,
  ): Promise<AttemptOutcome> {
    let use: UseOutcome = 'cancelled';
    this.#beginSend(picked);
    try {
      const { attempt, outcome } = await this.#send(route, service, picked, openHop);
      use = useOutcomeOf(outcome);
      if (attempt !== undefined) await this.#recordEnd(route, service, picked, attempt, outcome);
      if (this.#isOwnFailure) use = 'cancelled';
      return outcome;
    } finally {
      this.#guard(() => picked.finish(use, this.#progress));
    }
  }

  #beginSend(picked: PickedBackend): void {
    this.#record.backendId = picked.backend.id;
    this.#record.pickMethod = picked.how;
    this.#record.pickedMs = this.#times.ageMs;
    this.#record.sends += 1;
    this.#record.relay = undefined;
    this.#progress = undefined;
    this.#isOwnFailure = false;
  }

  /** Rejects only if the request may have been written: what a defect kept from that may be sent elsewhere. */
  async #send(
    route: HttpRoute,
    service: BackendService,
    picked: PickedBackend,
    openHop: BackendHop | undefined,
  ): Promise<EndedSend> {
    try {
      const hop = openHop ?? (await this.#openHop(service, picked.backend));
      if (typeof hop === 'string') return { outcome: { kind: 'not-run', reason: hop } };
      this.#record.relay = hop.relay;
      return await this.#runOver(hop, route, service, picked);
    } catch (cause) {
      if (this.#attempt?.sent === true) throw cause;
      this.#recordDefect(cause);
      return { outcome: { kind: 'not-run', reason: 'defect' } };
    }
  }

  /** Runs an attempt over an open way, which is given back when the attempt has ended. */
  async #runOver(
    hop: BackendHop,
    route: HttpRoute,
    service: BackendService,
    picked: PickedBackend,
  ): Promise<EndedSend> {
    let released: AttemptOutcome = NOT_SENT;
    try {
      if (this.#ended) return { outcome: { kind: 'cancelled' } };
      const attempt = this.#newAttempt(hop, route, service, picked);
      this.#attempt = attempt;
      const outcome = await attempt.run();
      this.#attempt = undefined;
      const isUntouched = outcome.kind === 'cancelled' && !attempt.isHandedOver;
      if (!isUntouched) released = outcome;
      return { attempt, outcome };
    } finally {
      this.#guard(() => this.#search?.cancel());
      this.#search = undefined;
      this.#guard(() => hop.release(released));
    }
  }

  #newAttempt(
    hop: BackendHop,
    route: HttpRoute,
    service: BackendService,
    picked: PickedBackend,
  ): BackendAttempt {
    const { backend } = picked;
    const { dialect, clock } = this.#context;
    const lastEventId = this.#lastEventId >= 0 ? this.#lastEventId : undefined;
    const attempt = new BackendAttempt(
      {
        hop,
        dialect,
        clock,
        method: this.#request.method ?? 'GET',
        path: this.#request.url ?? '/',
        headers: () =>
          dialect.forwardHeaders(this.#request.rawHeaders, {
            deadlineMs: backendDeadlineMs(this.#times.remainingMs(route), this.#times.unreadMs),
            backendId: backend.id,
            adapterVersion: this.#writeCheck.expectedVersion(picked),
            lastEventId,
            priority: service.engine === undefined ? undefined : this.#admission.priority(route),
            identity: this.#admission.identity,
          }),
        body: this.#body,
        attemptId: this.#facts.attemptId ?? '',
        stream: route.kind === 'stream',
        lastEventId: this.#lastEventId,
        inactivityLimit: this.#inactivityLimit(route, backend.id),
        onInactive: () => {
          if (attempt.sent) this.#binding.bindToRunAt(route, backend);
          this.#search ??= this.#replacementSearch(route, service, backend);
          this.#search.start();
        },
        onActive: () => this.#search?.cancel(),
        reasonNotToWrite: () => this.#writeCheck.reasonNotToWrite(route, picked),
        onWritten: () => {
          this.#record.sentMs = this.#times.ageMs;
          this.#record.listAgeMs = this.#context.listAgeMs();
        },
        onNotice: (notice) =>
          this.#context.notices.handleNotice(backend.id, notice, picked.isChargedToRateLimit),
        onStarted: () => {
          picked.started();
          this.#binding.began(route, service, backend);
        },
        onGoesOn: {
          afterMs: PART_START_PHASE_MS,
          call: () =>
            this.#quarantine.ran({ backendId: backend.id, service: service.name }, attempt.begunForMs ?? 0),
        },
        onDefect: (cause) => this.#recordDefect(cause),
      },
      this.#sink,
    );
    return attempt;
  }

  /** Records what an attempt shows. A defect here takes nothing from an outcome that is certain. */
  async #recordEnd(
    route: HttpRoute,
    service: BackendService,
    picked: PickedBackend,
    attempt: BackendAttempt,
    outcome: AttemptOutcome,
  ): Promise<void> {
    this.#lastEventId = attempt.lastEventId;
    this.#silentMs = attempt.silentMs;
    if (outcome.kind !== 'not-run') {
      this.#mayHaveRun ||= attempt.sent;
      this.#runs += 1;
      if (attempt.sent) this.#admission.recordRun();
    }
    try {
      this.#progress = attempt.progress;
      if (this.#record.relay !== undefined && isRelayFailure(outcome))
        this.#excludedRelays.add(this.#record.relay);
      if (attempt.sent && mayStillRun(outcome)) this.#binding.bindToRunAt(route, picked.backend);
      await this.#recordPath(picked.backend, outcome);
      const target = { backendId: picked.backend.id, service: service.name };
      await this.#quarantine.attemptEnded(target, attempt, outcome, this.#isOwnFailure);
    } catch (cause) {
      if (outcome.kind === 'broken') throw cause;
      this.#recordDefect(cause);
    }
  }

  async #recordPath(backend: BackendDescription, outcome: AttemptOutcome): Promise<void> {
    // A backend that takes over directly has just answered, so this node has a path.
    const isReached = this.#replacement !== undefined && this.#replacement.hop.relay === undefined;
    if (this.#record.relay === undefined && isPathFailure(outcome) && !isReached)
      this.#isOwnFailure = await this.#context.paths.isOwnFailure(backend.id);
    this.#hasOwnFailure ||= this.#isOwnFailure;
  }

  /** Opens the way to a picked backend; returns the reason if the request can't be sent there. */
  async #openHop(service: BackendService, backend: BackendDescription): Promise<BackendHop | NotRunReason> {
    const { hops, fleet, availability, refreshIfOld } = this.#context;
    await refreshIfOld();
    // A trial is requested when a backend is at hand, as the homes allow only a few.
    const isAllowed = !this.#quarantine.isQuarantined || (await this.#quarantine.requestTrial());
    if (!isAllowed || this.#ended) return 'not-allowed';
    if (fleet.isLeaving(backend.id)) return 'leaving';
    if (!this.#binding.allows(backend)) return 'other-version';
    if (availability.isBackingOff(backend.id)) return 'backing-off';
    return hops.open(backend, service, this.#excludedRelays, this.#hasOwnFailure);
  }

  /** A search for another backend, to be started when the one of the attempt is silent. */
  #replacementSearch(
    route: HttpRoute,
    service: BackendService,
    backend: BackendDescription,
  ): ReplacementSearch {
    return new ReplacementSearch({
      ...this.#context,
      backend,
      service,
      excludedRelays: this.#excludedRelays,
      request: this.#searchedRequest(route, service),
      onObstacle: (obstacle) => this.#recordSilence(backend.id, service.name, { obstacle }),
      onFound: (replacement) => {
        const attempt = this.#attempt;
        if (attempt === undefined || attempt.isSettled) {
          releaseReplacement(replacement);
          return;
        }
        this.#recordSilence(backend.id, service.name, { replacement: replacement.picked.backend.id });
        this.#replacement = replacement;
        attempt.giveUp();
      },
      onDefect: (cause) => this.#recordDefect(cause),
    });
  }

  #searchedRequest(route: HttpRoute, service: BackendService): SearchedRequest {
    return {
      obstacle: () => this.#obstacleToRetry(route, service),
      pick: (silent, cancelled) => this.#pick(route, service, cancelled, [...this.#silent, ...silent], true),
      refreshList: () => this.#context.refreshIfOld(),
      charge: () => this.#admission.chargeTakeover(),
      reasonNotToWrite: (picked) =>
        this.#binding.allows(picked.backend)
          ? this.#writeCheck.reasonNotToWrite(route, picked)
          : 'other-version',
      takeRetry: () => this.#context.budget(service.name).tryTake(),
    };
  }

  /** Why the request may not be sent again while its attempt runs; undefined if it may. */
  #obstacleToRetry(route: HttpRoute, service: BackendService): string | undefined {
    if (this.#attempt === undefined || this.#attempt.isSettled) return 'ended';
    if (this.#record.sends >= MAX_SENDS) return 'too-many-sends';
    if (this.#quarantine.isQuarantined) return 'quarantined';
    if (this.#times.remainingMs(route) <= 0) return 'overdue';
    if (this.#context.budget(service.name).isUsedUp) return 'no-retry-budget';
    return this.#admission.isStillIdentified(route) ? undefined : 'no-access';
  }

  /** Whether the request may still be sent to any backend; ends it if its client has left. */
  #isAllowed(route: HttpRoute): boolean {
    if (hasClientLeft(this.#request)) {
      this.#onClientLeft();
      return false;
    }
    return (
      this.#times.remainingMs(route) > 0 &&
      this.#admission.isStillIdentified(route) &&
      !this.#quarantine.isQuarantined
    );
  }

  /** Ends the exchange if no retry can follow the outcome; returns whether it has ended. */
  #endIfFinal(outcome: AttemptOutcome, route: HttpRoute): boolean {
    switch (outcome.kind) {
      case 'complete':
        this.#finish('complete', outcome.status);
        return true;
      case 'cancelled':
        return true;
      case 'failure':
        if (!this.#isRepeatable(route) || this.#runs >= route.attempts) {
          this.#forwardFailure(outcome);
          return true;
        }
        this.#keptFailure = outcome;
        this.#sink.keepFailure(bytesOf(outcome.body));
        return false;
      case 'not-run':
      case 'broken':
        return false;
    }
  }

  #forwardFailure(outcome: AttemptOutcome & { kind: 'failure' }): void {
    if (this.#ended) return;
    if (this.#sink.started) {
      this.#abortResponse('backend failed after part of the stream was sent');
      return;
    }
    this.#sink.keepFailure(0);
    this.#sink.start(outcome.status, outcome.headers, bytesOf(outcome.body));
    this.#sink.end(outcome.body);
    this.#finish('backend-failure', outcome.status);
  }

  /** Whether another send is allowed and useful; otherwise sends the final response. */
  #mayRetryOrEnd(route: HttpRoute, service: BackendService, outcome: AttemptOutcome): boolean {
    const isRepeat = outcome.kind !== 'not-run';
    if (isRepeat && (!this.#isRepeatable(route) || this.#runs >= route.attempts)) {
      this.#endWithoutRetry(outcome);
      return false;
    }
    const costsRetry = wasWritten(outcome);
    const hasNoWay = outcome.kind === 'not-run' && outcome.reason === 'no-path';
    if (
      hasNoWay ||
      this.#record.sends >= MAX_SENDS ||
      (costsRetry && !this.#context.budget(service.name).tryTake())
    ) {
      this.#endWithoutRetry(outcome);
      return false;
    }
    return true;
  }

  #recordRetry(service: BackendService, outcome: AttemptOutcome): void {
    // A backend that asked for a backoff is not excluded: it is avoided until that ends, and may be tried
    // again afterwards.
    const isBackingOff = this.#context.availability.isBackingOff(this.#record.backendId);
    if (outcome.kind === 'broken' && outcome.how === 'silent') this.#silent.push(this.#record.backendId);
    else if (!mayReuseBackend(outcome) && !isBackingOff && !this.#isOwnFailure)
      this.#excluded = [...this.#excluded, this.#record.backendId];
    this.#context.metrics.retries.inc({ service: service.name });
    this.#context.telemetry.event('info', 'request.retried', this.#facts.attemptId ?? '', {
      after: outcome.kind,
      detail: describeOutcome(outcome),
      backend: this.#record.backendId,
      ageMs: Math.round(this.#times.ageMs),
    });
  }

  #endWithoutRetry(outcome: AttemptOutcome): void {
    if (this.#sink.started) this.#abortResponse(describeOutcome(outcome));
    else if (this.#keptFailure !== undefined) this.#forwardFailure(this.#keptFailure);
    else if (this.#mayHaveRun) this.#respond({ kind: 'outcome-unknown', detail: describeOutcome(outcome) });
    else this.#refuse(describeOutcome(outcome), RETRY_AFTER_REFUSAL_MS);
  }

  #refuse(reason: string, retryAfterMs: number | undefined): void {
    this.#refuseWith({ kind: 'not-run', reason, retryAfterMs }, reason);
  }

  /**
   * Ends the request. The response is that of a backend, if one answered; otherwise it says that the request has not
   * run, if that is certain, or that the outcome is unknown.
   */
  #refuseWith(response: GatewayResponse, reason: string): void {
    if (this.#sink.started) this.#abortResponse(reason);
    else if (this.#keptFailure !== undefined) this.#forwardFailure(this.#keptFailure);
    else if (this.#mayHaveRun) this.#respond({ kind: 'outcome-unknown', detail: reason });
    else this.#respond(response);
  }

  #recordDefect(cause: unknown): void {
    this.#record.defect(cause, this.#attempt?.sent === true);
  }

  /** Does what no failure may keep others from; a defect in it is logged. */
  #guard(work: () => void): void {
    try {
      work();
    } catch (cause) {
      this.#recordDefect(cause);
    }
  }

  /** Does what is called from outside, such as by a timer; a defect in it ends the request. */
  #endBy(work: () => void): void {
    try {
      work();
    } catch (cause) {
      this.#failOnDefect(cause);
    }
  }

  /** Ends the request after an internal error, with a response if none has started and one can be made. */
  #failOnDefect(cause: unknown): void {
    this.#recordDefect(cause);
    if (this.#ended) return;
    this.#mayHaveRun ||= this.#attempt?.sent === true;
    try {
      this.#refuse('defect', RETRY_AFTER_REFUSAL_MS);
    } catch (again) {
      this.#recordDefect(again);
      this.#abortResponse('defect');
    }
    this.#cancelAttempt();
  }

  #onTimeout(): void {
    if (this.#ended) return;
    const mayHaveRun = this.#mayHaveRun || this.#attempt?.sent === true;
    if (this.#sink.started) this.#abortResponse('timed out');
    else if (this.#keptFailure !== undefined) this.#forwardFailure(this.#keptFailure);
    else this.#respond({ kind: 'timed-out', mayHaveRun });
    this.#cancelAttempt();
  }

  #onClientLeft(): void {
    if (this.#ended) return;
    this.#finish('client-left', 0);
    this.#cancelAttempt();
  }

  /** Closes a response that its client does not read, as others need the memory. */
  #giveWay(): void {
    if (this.#ended) {
      this.#sink.abort();
      return;
    }
    this.#abortResponse('client does not read');
    this.#cancelAttempt();
  }

  #cancelAttempt(): void {
    this.#cancel.abort();
    this.#attempt?.cancel();
  }

  #abortResponse(detail: string): void {
    this.#sink.abort();
    this.#finish(`broken-off: ${detail}`, 0);
  }

  #respond(response: GatewayResponse): void {
    if (this.#ended) return;
    const status = statusOf(response);
    this.#record.retryAfterMs = retryAfterOf(response);
    const headers = this.#context.dialect.refusalHeaders(this.#record.retryAfterMs);
    this.#sink.sendText(status, headers, `${response.kind}\n`);
    const detail = 'reason' in response ? response.reason : 'detail' in response ? response.detail : '';
    this.#finish(detail === '' ? response.kind : `${response.kind}: ${detail}`, status);
  }

  #finish(outcome: string, status: number): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#limitRest();
    this.#refundUnlessRun();
    this.#record.finished({
      outcome,
      status,
      tenant: this.#admission.tenant,
      firstByteMs: this.#sink.firstByteMs,
      silentMs: this.#attempt?.silentMs ?? this.#silentMs,
    });
  }

  #limitRest(): void {
    const { fleet, clock, readTurns, bodyEvents: events } = this.#context;
    const maxBodyBytes = fleet.routes?.configuration.limits.maxBodyBytes ?? 0;
    limitRest(this.#request, {
      readTurns,
      clock,
      events,
      id: this.#facts.attemptId ?? 'none',
      maxBytes: Math.max(MIN_REST_BYTES, maxBodyBytes),
    });
  }

  #isRepeatable(route: HttpRoute): boolean {
    return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
  }

  #recordSilence(backendId: string, service: string, result: SilenceResult): void {
    recordSilence(this.#context, {
      traceId: this.#facts.attemptId ?? 'none',
      backendId,
      service,
      relay: this.#record.relay,
      silentMs: this.#attempt?.silentMs,
      begunForMs: this.#attempt?.begunForMs,
      ageMs: this.#times.ageMs,
      result,
    });
  }

  /** The last allowed attempt has no inactivity limit, as no other one may take over. */
  #inactivityLimit(route: HttpRoute, backendId: string): InactivityLimit | undefined {
    if (!this.#isRepeatable(route) || this.#runs + 1 >= route.attempts) return undefined;
    return inactivityLimit(route, () => this.#context.connections.lastReceivedMs(backendId));
  }

  /**
   * Age of the request at which its client gives up unless it has received more data by then: clients
   * abandon a stream that shows no event for some time, whatever their deadline.
   */
  #startWithinMs(route: HttpRoute): number {
    const sinceMs = this.#sink.started ? this.#times.ageMs - (this.#attempt?.silentMs ?? 0) : 0;
    return Math.min(this.#times.timeoutMs(route), sinceMs + (route.patienceMs ?? Infinity));
  }
}

function bytesOf(pieces: readonly Buffer[]): number {
  return pieces.reduce((sum, { length }) => sum + length, 0);
}

const NOT_SENT: AttemptOutcome = { kind: 'not-run', reason: 'not-allowed' };
const EMPTY_BODY: Buffer = Buffer.alloc(0);
const RETRY_AFTER_REFUSAL_MS = 300;
/** What a client may send of a body after the answer, however small bodies have to be. */
const MIN_REST_BYTES = 65_536;
