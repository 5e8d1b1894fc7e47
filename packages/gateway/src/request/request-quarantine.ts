import type { QuarantineGate } from '@canvasridge/admission';
import type { Telemetry } from '@canvasridge/telemetry';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { AttemptOutcome, BackendAttempt } from './backend-attempt.js';
import { requestFingerprint, type RepeatedParts } from './request-fingerprint.js';

/**
 * A request that ends its backend does so when its run begins. One that has been answered for longer than this was struck by
 * another's end; of the streams of an engine, which last for up to 15 s, that is most.
 */
const BEGINNING_MS = 1000;

export interface QuarantineContext {
  readonly quarantine: QuarantineGate;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/** One request before the quarantine: whether it is kept from backends, and what its attempts tell of it. */
export class RequestQuarantine {
  readonly #context: QuarantineContext;
  readonly #traceId: string;
  readonly #parts: () => RepeatedParts;
  #known: string | undefined;

  /** @param parts asked when first needed, which is for few requests */
  constructor(context: QuarantineContext, traceId: string, parts: () => RepeatedParts) {
    this.#context = context;
    this.#traceId = traceId;
    this.#parts = parts;
  }

  /** Time for which the request is kept from backends, in milliseconds, as too many broke off under it; undefined if it is not. */
  get keptMs(): number | undefined {
    const { quarantine } = this.#context;
    return quarantine.isEmpty ? undefined : quarantine.remainingMs(this.#fingerprint);
  }

  /** Takes note of how an attempt ended; resolves when the request may be sent again, if it is not kept then. */
  async attemptEnded(backendId: string, attempt: BackendAttempt, outcome: AttemptOutcome): Promise<void> {
    const { quarantine } = this.#context;
    // A failure clears nothing: a backend may give one before it has run the request.
    if (outcome.kind === 'complete' && !quarantine.isEmpty) quarantine.endedWell(this.#fingerprint);
    if (outcome.kind === 'broken') await this.#interrupted(backendId, attempt, outcome);
  }

  async #interrupted(
    backendId: string,
    { runMs, begunForMs }: BackendAttempt,
    { how, detail }: AttemptOutcome & { readonly kind: 'broken' },
  ): Promise<void> {
    const { telemetry, metrics, quarantine } = this.#context;
    telemetry.event('info', 'request.interrupted', this.#traceId, {
      fingerprint: this.#fingerprint,
      backend: backendId,
      how,
      detail,
      runMs: Math.round(runMs),
      begunForMs: begunForMs === undefined ? undefined : Math.round(begunForMs),
    });
    metrics.interrupted.inc({ begun: String(begunForMs !== undefined) });
    const isBeginning = begunForMs === undefined || begunForMs < BEGINNING_MS;
    if (how !== 'connection-lost' || !isBeginning) return;
    await quarantine.interrupted(this.#fingerprint, backendId);
  }

  get #fingerprint(): string {
    this.#known ??= requestFingerprint(this.#parts());
    return this.#known;
  }
}
