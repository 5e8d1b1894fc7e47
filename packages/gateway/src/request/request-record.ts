import { errorFields } from '@canvasridge/telemetry';
import type { HttpRoute } from '@canvasridge/serving';
import type { RequestFacts } from './dialect.js';
import type { ExchangeContext } from './exchange-context.js';
import type { RequestTimes } from './request-times.js';

type RecordContext = Pick<ExchangeContext, 'fleet' | 'telemetry' | 'metrics' | 'lagMs'>;

/** How a request ended. */
export interface RequestEnd {
  readonly outcome: string;
  /** Of the response; 0 if there was none. */
  readonly status: number;
  readonly tenant: string | undefined;
  /** When the first byte of the response was written; undefined if none was. */
  readonly firstByteMs: number | undefined;
  /** How long the last attempt had received nothing, in milliseconds. */
  readonly silentMs: number | undefined;
}

/** What is known of one request for its log lines and metrics. */
export class RequestRecord {
  /** Of the last attempt. */
  backendId = '';
  pickMethod = '';
  /** Node through which the last attempt was sent; undefined if it was sent directly. */
  relay: string | undefined;
  /** Attempts so far, including those whose request was not sent or not run. */
  sends = 0;
  /** Age of the request when the last backend was picked, in milliseconds. */
  pickedMs: number | undefined;
  /** Age of the backend list when the last attempt was written, in milliseconds. */
  listAgeMs: number | undefined;
  /** Age of the request when its last attempt was written, in milliseconds. */
  sentMs: number | undefined;
  /** Retry-After of the response, in milliseconds, if it has one. */
  retryAfterMs: number | undefined;
  route: HttpRoute | undefined;
  readonly #context: RecordContext;
  readonly #facts: RequestFacts;
  readonly #times: RequestTimes;

  constructor(context: RecordContext, facts: RequestFacts, times: RequestTimes) {
    this.#context = context;
    this.#facts = facts;
    this.#times = times;
  }

  /** @param isSent whether an attempt that may have reached its backend is under way */
  defect(cause: unknown, isSent: boolean): void {
    const { telemetry, fleet } = this.#context;
    telemetry.event('error', 'request.defect', this.#facts.attemptId ?? 'none', {
      ...errorFields(cause),
      route: this.route?.name,
      backend: this.backendId === '' ? undefined : this.backendId,
      address: fleet.backend(this.backendId)?.address,
      relay: this.relay,
      sent: isSent,
      ageMs: Math.round(this.#times.ageMs),
    });
  }

  finished({ outcome, status, tenant, firstByteMs, silentMs }: RequestEnd): void {
    const { telemetry, metrics, fleet, lagMs } = this.#context;
    const { ageMs, arrivedMs, unreadMs } = this.#times;
    const startedMs = firstByteMs === undefined ? undefined : firstByteMs - arrivedMs;
    metrics.requests.inc({ route_kind: this.route?.kind ?? 'none', status: String(status) });
    metrics.countTenant(tenant, status);
    if (startedMs !== undefined) metrics.firstByte.observe(startedMs / 1000);
    telemetry.event('info', 'request.finished', this.#facts.attemptId ?? 'none', {
      outcome,
      status,
      retryAfterMs: round(this.retryAfterMs),
      route: this.route?.name,
      tenant,
      adapter: this.#facts.generation?.adapter,
      backend: this.backendId === '' ? undefined : this.backendId,
      version: fleet.backend(this.backendId)?.softwareVersion,
      resumes: this.#facts.resumedAttemptId,
      relay: this.relay,
      how: this.pickMethod === '' ? undefined : this.pickMethod,
      sends: this.sends,
      pickedMs: round(this.pickedMs),
      sentMs: round(this.sentMs),
      listAgeMs: round(this.listAgeMs),
      silentMs: round(silentMs),
      lagMs: Math.round(lagMs()),
      unreadMs: Math.round(unreadMs),
      ageMs: Math.round(ageMs),
      firstByteMs: round(startedMs),
      configuration: fleet.configurationVersion,
    });
  }
}

function round(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}
