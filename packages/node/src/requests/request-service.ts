import { createHash } from 'node:crypto';
import { type CallerLimits, type KeyOutcome } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import {
  Header,
  formatModelName,
  problem,
  type AdapterRef,
  type CallerDefinition,
  type ConfigurationIndex,
  type EngineClient,
  type EngineDefinition,
  type EngineRequest,
  type Problem,
  type ServiceDefinition,
  type StreamSink,
} from '@canvasridge/domain';
import type { Telemetry } from '@canvasridge/telemetry';
import { LRUCache } from 'lru-cache';
import { err, ok, type Result } from 'neverthrow';
import type { GenerationRouter } from './generation-router.js';
import {
  RelaySink,
  readOptions,
  refused,
  type InboundRequest,
  type RequestEnd,
  type RequestOptions,
} from './inbound.js';
import type { KeyProtocol } from './key-protocol.js';
import type { ServiceRouter } from './service-router.js';
import type { StreamTokens } from './stream-tokens.js';

export interface RequestServiceOptions {
  readonly index: () => ConfigurationIndex | undefined;
  readonly limits: CallerLimits;
  readonly generations: GenerationRouter;
  readonly services: ServiceRouter;
  readonly keys: KeyProtocol;
  readonly streams: StreamTokens;
  readonly clientOf: (engine: EngineDefinition) => EngineClient;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly newRequestId: () => string;
}

/** A request that passed authentication, header checks and the caller's limits. */
interface AdmittedRequest {
  readonly index: ConfigurationIndex;
  readonly caller: CallerDefinition;
  readonly options: RequestOptions;
  /** Releases the caller's concurrency permit. */
  release(): void;
}

const BEARER = 'Bearer ';
const MAX_CACHED_KEY_DIGESTS = 10_000;
/** A larger response to a keyed request is not kept; a repeated request is then refused. */
const MAX_RECORDED_BODY_BYTES = 65_536;
const SERVICE_PREFIX = '/services/';
const STREAM_PREFIX = '/v1/streams/';

type RunRequest = (sink: RelaySink) => Promise<RequestEnd>;

/**
 * Handles callers' requests: authenticates and admits them, resolves the model or service, and runs them;
 * requests that are not repeatable need an idempotency key and run at most once.
 */
export class RequestService {
  readonly #options: RequestServiceOptions;
  readonly #keyDigests = new LRUCache<string, string>({ max: MAX_CACHED_KEY_DIGESTS });
  #active = 0;
  #completed = 0;

  constructor(options: RequestServiceOptions) {
    this.#options = options;
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#active;
  }

  /** Number of requests completed since the start. */
  get completed(): number {
    return this.#completed;
  }

  /** `POST /v1/completions` and `/v1/chat/completions`. */
  async generate(inbound: InboundRequest, sink: StreamSink, signal: AbortSignal): Promise<RequestEnd> {
    const admitted = this.#admit(inbound);
    if (admitted.isErr()) return this.#countFailure(admitted.error);
    const { caller, options, index } = admitted.value;
    return this.#runTracked(admitted.value, signal, async (runSignal) => {
      const model = this.#readModel(inbound, index, caller);
      if (model.isErr()) return refused(model.error);
      const path = inbound.path as EngineRequest['path'];
      const generation = { path, model: model.value, body: inbound.body, caller, options };
      const headers = { [Header.requestId]: options.requestId };
      return this.#runWithKeyIfNeeded(admitted.value, !options.repeatable, sink, headers, (relay) =>
        this.#options.generations.run(generation, relay, runSignal),
      );
    });
  }

  /** `/services/NAME/...` */
  async callService(inbound: InboundRequest, sink: StreamSink, signal: AbortSignal): Promise<RequestEnd> {
    const admitted = this.#admit(inbound);
    if (admitted.isErr()) return this.#countFailure(admitted.error);
    const { caller, options, index } = admitted.value;
    return this.#runTracked(admitted.value, signal, async (runSignal) => {
      const target = findService(inbound, index, caller);
      if (target.isErr()) return refused(target.error);
      const { service, path } = target.value;
      const repeatable = options.repeatable && !isMarkedNotRepeatable(service, inbound.method, path);
      const headers = { [Header.requestId]: options.requestId };
      const call = { service, path, inbound, options, repeatable };
      return this.#runWithKeyIfNeeded(admitted.value, !repeatable, sink, headers, (relay) =>
        this.#options.services.run(call, relay, runSignal),
      );
    });
  }

  /** `GET /v1/streams/TOKEN`: resumes a stream after the event whose id is in the `last-event-id` header. */
  async resumeStream(inbound: InboundRequest, sink: StreamSink, signal: AbortSignal): Promise<RequestEnd> {
    const authenticated = this.authenticate(inbound);
    if (authenticated.isErr()) return this.#countFailure(authenticated.error);
    const { caller, index } = authenticated.value;
    const streamRef = this.#options.streams.verify(inbound.path.slice(STREAM_PREFIX.length), caller.name);
    const engine = streamRef === undefined ? undefined : index.engines.get(streamRef.engineId);
    if (streamRef === undefined || engine === undefined)
      return this.#countFailure(problem('resume-unavailable', 'unknown'));
    const after = Number(inbound.headers[Header.lastEventId] ?? '-1');
    if (!Number.isInteger(after) || after < -1) {
      const detail = `${Header.lastEventId}: found "${inbound.headers[Header.lastEventId] ?? ''}", expected the id of an event`;
      return this.#countFailure(problem('invalid-header', 'no', { detail }));
    }
    const relay = new RelaySink(sink, {});
    const result = await this.#options
      .clientOf(engine)
      .resume(streamRef.engineRequestId, after, relay, signal);
    if (result.isOk()) return { kind: 'completed' };
    const document = problem('resume-unavailable', 'unknown', { detail: result.error.kind });
    return this.#countFailure(relay.started ? { kind: 'broken-off', problem: document } : document);
  }

  /** Why a request with these headers would be refused whatever its body is; undefined if it has a caller's key. */
  refusalOf(inbound: Pick<InboundRequest, 'headers'>): Problem | undefined {
    const authenticated = this.authenticate(inbound);
    if (authenticated.isOk()) return undefined;
    this.#countFailure(authenticated.error);
    return authenticated.error;
  }

  /** Identifies the caller by its bearer key, without admission; enough for directory requests. */
  authenticate(
    inbound: Pick<InboundRequest, 'headers'>,
  ): Result<{ index: ConfigurationIndex; caller: CallerDefinition }, Problem> {
    const index = this.#options.index();
    if (index === undefined) return err(problem('not-ready', 'no', { retryAfterSeconds: 1 }));
    const authorization = inbound.headers.authorization ?? '';
    const key = authorization.startsWith(BEARER) ? authorization.slice(BEARER.length) : '';
    const caller = key === '' ? undefined : index.callerByKey(this.#digestOf(key));
    if (caller !== undefined) return ok({ index, caller });
    const detail = 'expected header "authorization: Bearer KEY" with a key of a caller in the configuration';
    return err(problem('unauthenticated', 'no', { detail }));
  }

  // --- admission ---------------------------------------------------------------------------------

  #admit(inbound: InboundRequest): Result<AdmittedRequest, Problem> {
    return this.authenticate(inbound).andThen(({ index, caller }) => {
      const { clock, limits, newRequestId } = this.#options;
      const defaultMs = index.tuning.defaultDeadlineMs;
      return readOptions(inbound.headers, caller, clock.now(), defaultMs, newRequestId).andThen((options) =>
        limits
          .admit(caller)
          .map((permit) => ({ index, caller, options, release: () => permit.release() }))
          .mapErr((refusal) =>
            refusal.kind === 'rate-limited'
              ? problem('rate-limited', 'no', { retryAfterSeconds: refusal.retryAfterSeconds })
              : problem('concurrency-limited', 'no', {
                  detail: `limit ${refusal.limit}`,
                  retryAfterSeconds: 1,
                }),
          ),
      );
    });
  }

  #digestOf(key: string): string {
    let digest = this.#keyDigests.get(key);
    if (digest === undefined) {
      digest = createHash('sha256').update(key).digest('hex');
      this.#keyDigests.set(key, digest);
    }
    return digest;
  }

  #readModel(
    inbound: InboundRequest,
    index: ConfigurationIndex,
    caller: CallerDefinition,
  ): Result<AdapterRef, Problem> {
    const name = readModelField(inbound.body);
    if (name.isErr()) return err(name.error);
    const resolved = index.resolveModel(name.value);
    if (resolved.isErr()) {
      const expected =
        resolved.error.kind === 'malformed-model-name' ? `; expected ${resolved.error.expected}` : '';
      const detail = `model: found "${resolved.error.found}"${expected}`;
      return err(problem(resolved.error.kind, 'no', { detail }));
    }
    const text = formatModelName(resolved.value);
    if (caller.models.some((prefix) => prefix === '*' || text.startsWith(prefix))) return ok(resolved.value);
    return err(problem('not-allowed', 'no', { detail: `caller "${caller.name}" may not use "${text}"` }));
  }

  // --- running -----------------------------------------------------------------------------------

  async #runTracked(
    admitted: AdmittedRequest,
    signal: AbortSignal,
    run: (runSignal: AbortSignal) => Promise<RequestEnd>,
  ): Promise<RequestEnd> {
    const { telemetry, clock } = this.#options;
    const startedAtMs = clock.wallTime();
    telemetry.metrics.count('requests.accepted');
    this.#active += 1;
    const end = await run(signal);
    this.#active -= 1;
    admitted.release();
    telemetry.step(`request.${end.kind}`, admitted.options.requestId, admitted.caller.name, startedAtMs);
    if (end.kind !== 'completed') return this.#countFailure(end);
    this.#completed += 1;
    telemetry.metrics.count('requests.completed');
    return end;
  }

  async #runWithKeyIfNeeded(
    admitted: AdmittedRequest,
    needsKey: boolean,
    sink: StreamSink,
    headers: Readonly<Record<string, string>>,
    run: RunRequest,
  ): Promise<RequestEnd> {
    const { key, home } = admitted.options;
    if (!needsKey) return run(this.#withTimings(new RelaySink(sink, headers)));
    if (key === undefined || home === undefined) {
      const detail = `send "${Header.idempotencyKey}" and "${Header.home}"; GET /v1/endpoints gives a home`;
      return refused(problem('key-required', 'no', { detail }));
    }
    // The caller's name is part of the key, so that callers cannot use each other's keys.
    const decision = await this.#options.keys.decide(home, `${admitted.caller.name}/${key}`);
    if (decision === undefined) {
      const detail = `${Header.home}: found "${home.slice(0, 80)}", expected a home from GET /v1/endpoints`;
      return refused(problem('invalid-header', 'no', { detail }));
    }
    if (decision.kind === 'full') return refused(problem('overloaded', 'no', { retryAfterSeconds: 1 }));
    if (decision.kind === 'outcome') return replay(decision.outcome, sink, headers);
    const recording = new ResponseRecording();
    const relay = this.#withTimings(new RelaySink(sink, headers, (chunk) => recording.add(chunk)));
    const end = await run(relay);
    decision.settle(recording.outcome(end, relay));
    return end;
  }

  /** Records the time to the start of the response, and the load stall that its header reports. */
  #withTimings(relay: RelaySink): RelaySink {
    const { clock, telemetry } = this.#options;
    const startedAtMs = clock.now();
    relay.onStart = (responseHeaders) => {
      telemetry.metrics.timing('request.first_token', clock.now() - startedAtMs);
      const stallMs = responseHeaders[Header.loadStallMs];
      if (stallMs !== undefined) telemetry.metrics.timing('request.load_stall', Number(stallMs));
    };
    return relay;
  }

  /** Counts a request that did not complete, as refused or with unknown outcome. */
  #countFailure(failure: Problem | RequestEnd): RequestEnd {
    const end = 'code' in failure ? refused(failure) : failure;
    if (end.kind === 'completed') return end;
    const { code, executed } = end.problem;
    const { metrics } = this.#options.telemetry;
    if (executed === 'no') metrics.count('requests.refused', 1, [`code:${code}`]);
    else metrics.count('requests.unknown', 1, [`code:${code}`]);
    return end;
  }
}

/** Records the body of a keyed request's response while it is relayed, up to a size limit. */
class ResponseRecording {
  readonly #chunks: Uint8Array[] = [];
  #bytes = 0;

  add(chunk: Uint8Array): void {
    this.#bytes += chunk.length;
    if (this.#bytes <= MAX_RECORDED_BODY_BYTES) this.#chunks.push(chunk);
  }

  outcome(end: RequestEnd, relay: RelaySink): KeyOutcome {
    if (end.kind === 'refused' && end.problem.executed === 'no') return { kind: 'not-executed' };
    if (end.kind !== 'completed') return { kind: 'unknown' };
    if (this.#bytes > MAX_RECORDED_BODY_BYTES) return { kind: 'answer-dropped' };
    const body = Buffer.concat(this.#chunks);
    return { kind: 'answered', answer: { status: relay.status, headers: relay.responseHeaders, body } };
  }
}

/** Answers a repeated request from the recorded outcome of the first request with the same key. */
function replay(
  outcome: KeyOutcome,
  sink: StreamSink,
  headers: Readonly<Record<string, string>>,
): RequestEnd {
  switch (outcome.kind) {
    case 'answered':
      sink.start(outcome.answer.status, { ...outcome.answer.headers, ...headers });
      sink.write(outcome.answer.body);
      return { kind: 'completed' };
    case 'answer-dropped':
      return refused(problem('already-executed', 'unknown'));
    case 'not-executed':
      return refused(
        problem('overloaded', 'no', { detail: 'the first request with this key was refused; send it again' }),
      );
    case 'unknown':
      return refused(problem('outcome-unknown', 'unknown'));
  }
}

function readModelField(body: Uint8Array): Result<string, Problem> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8'));
  } catch (cause) {
    return err(
      problem('malformed-request', 'no', { detail: `the body is not JSON: ${(cause as Error).message}` }),
    );
  }
  const model =
    typeof value === 'object' && value !== null ? (value as { model?: unknown }).model : undefined;
  if (typeof model === 'string') return ok(model);
  return err(
    problem('malformed-request', 'no', { detail: 'model: expected a text such as "base:adapter@version"' }),
  );
}

function findService(
  inbound: InboundRequest,
  index: ConfigurationIndex,
  caller: CallerDefinition,
): Result<{ service: ServiceDefinition; path: string }, Problem> {
  const rest = inbound.path.slice(SERVICE_PREFIX.length);
  const slash = rest.search(/[/?]/);
  const name = slash === -1 ? rest : rest.slice(0, slash);
  const service = index.services.get(name);
  if (service === undefined)
    return err(problem('unknown-service', 'no', { detail: `service: found "${name}"` }));
  if (!caller.services.some((allowed) => allowed === '*' || allowed === name)) {
    return err(
      problem('not-allowed', 'no', { detail: `caller "${caller.name}" may not use service "${name}"` }),
    );
  }
  const path = slash === -1 ? '/' : rest.slice(slash);
  return ok({ service, path: path.startsWith('/') ? path : `/${path}` });
}

function isMarkedNotRepeatable(service: ServiceDefinition, method: string, path: string): boolean {
  const [pathname = ''] = path.split('?');
  return service.notRepeatable.some(
    (rule) => rule.method === method && (pathname === rule.path || pathname.startsWith(`${rule.path}/`)),
  );
}
