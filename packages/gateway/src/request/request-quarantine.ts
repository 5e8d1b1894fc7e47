import type { PartCrashGate, PartRun, QuarantineGate } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';
import type { BackendConnections } from '../backends/backend-connections.js';
import { partKey } from '../cluster/part-key.js';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { AttemptOutcome, BackendAttempt } from './backend-attempt.js';
import { requestFingerprint, type FingerprintParts } from './request-fingerprint.js';

/**
 * A request that crashes its backend does so shortly after it starts to run. One whose response has been
 * running for longer than this was interrupted by a crash that another request caused. That holds for most
 * interrupted streams of an engine, which last for up to 15 s.
 */
const START_PHASE_MS = 1000;
/**
 * The same for parts of prompts, which crash a backend as it begins the response. A response that has gone on for this
 * long shows that its parts did not. It is shorter, as many runs with a sound part are under way at each crash.
 */
export const PART_START_PHASE_MS = 250;
/** Whether a backend lives is looked at this long after a response that a crash may have ended. */
const ALIVE_CHECK_MS = 1000;
/** What a backend sent before it crashed is read within this time after the end of a connection. */
const UNREAD_MARGIN_MS = 100;
const MAX_LOGGED_PARTS = 8;

/** What the quarantine needs to know of an attempt that has ended. */
export type EndedAttempt = Pick<BackendAttempt, 'sent' | 'runMs' | 'begunForMs' | 'endsWithConnection'>;

type RunTimes = Pick<EndedAttempt, 'runMs' | 'begunForMs'>;

/** The backend of an attempt. */
export type AttemptBackend = Pick<PartRun, 'backendId' | 'service'>;

export interface QuarantineContext {
  readonly quarantine: QuarantineGate;
  readonly partCrashes: PartCrashGate;
  readonly clock: Clock;
  readonly connections: Pick<BackendConnections, 'lastReceivedMs'>;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/**
 * Tracks one request with regard to the quarantine: whether it, or a part of its prompt, is withheld from backends, and
 * what its attempts show about them.
 */
export class RequestQuarantine {
  readonly #context: QuarantineContext;
  readonly #traceId: string;
  /** See `RequestFacts.sharedParts`. */
  readonly #sharedParts: readonly string[];
  readonly #fingerprintParts: () => FingerprintParts;
  /** Fingerprint or key for which the next attempt is a trial: it may be sent although that is quarantined. */
  #trial: string | undefined;
  #cachedFingerprint: string | undefined;
  #cachedPartKeys: readonly string[] | undefined;

  constructor(
    context: QuarantineContext,
    traceId: string,
    sharedParts: readonly string[],
    fingerprintParts: () => FingerprintParts,
  ) {
    this.#context = context;
    this.#traceId = traceId;
    this.#sharedParts = sharedParts;
    this.#fingerprintParts = fingerprintParts;
  }

  /** Whether the request or a part of it is quarantined, so that it must not be sent without a trial. */
  get isQuarantined(): boolean {
    return this.#quarantined.some((name) => name !== this.#trial);
  }

  /** Whether the request is quarantined and can't be sent as a trial now. */
  get isWithheld(): boolean {
    const names = this.#quarantined.filter((name) => name !== this.#trial);
    // A run with several quarantined parts would not show which of them crashes backends.
    return names.length > 1 || names.some((name) => !this.#context.quarantine.isTrialDue(name));
  }

  /** Time after which the client of a quarantined request should send it again, in milliseconds. */
  get retryAfterMs(): number {
    const { quarantine } = this.#context;
    return Math.max(0, ...this.#quarantined.map((name) => quarantine.retryAfterMs(name)));
  }

  /** Resolves to whether a quarantined request may be sent once, as a trial. */
  async requestTrial(): Promise<boolean> {
    const [name, ...others] = this.#quarantined;
    if (name === undefined || others.length > 0) return name === undefined;
    if (!(await this.#context.quarantine.requestTrial(name))) return false;
    this.#trial = name;
    return !this.isQuarantined;
  }

  /** Records that the response of an attempt goes on, this long after it began. */
  ran(backend: AttemptBackend, begunForMs: number): void {
    if (this.#sharedParts.length > 0) this.#context.partCrashes.ran(this.#partRun(backend), begunForMs);
  }

  /**
   * Records how an attempt ended. Resolves when the request may be sent again, provided that it is not
   * quarantined by then.
   * @param isPathLost whether the attempt failed as this node has lost its path to all backends of the service
   */
  async attemptEnded(
    backend: AttemptBackend,
    attempt: EndedAttempt,
    outcome: AttemptOutcome,
    isPathLost = false,
  ): Promise<void> {
    this.#trial = undefined;
    // An error response does not clear a request: a backend may send one before it has run the request.
    if (outcome.kind === 'complete') {
      if (attempt.endsWithConnection && isWithin(START_PHASE_MS, attempt))
        this.#endedOrCrashed(backend, attempt);
      else this.#completed(backend, attempt);
    } else if (isWithin(START_PHASE_MS, attempt) && isUnresolved(attempt, outcome, isPathLost)) {
      this.#unresolved(backend, attempt);
    } else if (outcome.kind === 'broken') await this.#interrupted(backend, attempt, outcome);
  }

  #completed(backend: AttemptBackend, { runMs, begunForMs = 0 }: RunTimes): void {
    this.#context.quarantine.completed(this.#fingerprint, runMs);
    this.ran(backend, begunForMs);
  }

  #unresolved(backend: AttemptBackend, attempt: EndedAttempt): void {
    const { quarantine, partCrashes } = this.#context;
    quarantine.unresolved(this.#fingerprint, backend.backendId, attempt.runMs);
    if (this.#sharedParts.length > 0 && isWithin(PART_START_PHASE_MS, attempt))
      partCrashes.unresolved(this.#partRun(backend));
  }

  /** The response ended with its connection soon after it began: it is complete if the backend turns out to live. */
  #endedOrCrashed(backend: AttemptBackend, attempt: EndedAttempt): void {
    const { clock, connections } = this.#context;
    const { runMs, begunForMs = 0 } = attempt;
    const endedMs = clock.now();
    this.#unresolved(backend, attempt);
    clock.setTimer(ALIVE_CHECK_MS, () => {
      if (connections.lastReceivedMs(backend.backendId) < endedMs + UNREAD_MARGIN_MS) return;
      const agoMs = clock.now() - endedMs;
      this.#completed(backend, { runMs: runMs + agoMs, begunForMs: begunForMs + agoMs });
    });
  }

  async #interrupted(
    backend: AttemptBackend,
    attempt: EndedAttempt,
    { how, detail }: AttemptOutcome & { readonly kind: 'broken' },
  ): Promise<void> {
    const { telemetry, metrics, quarantine, partCrashes } = this.#context;
    const { runMs, begunForMs } = attempt;
    telemetry.event('info', 'request.interrupted', this.#traceId, {
      fingerprint: this.#fingerprint,
      parts: this.#sharedParts.length === 0 ? undefined : this.#sharedParts.slice(0, MAX_LOGGED_PARTS).join(),
      backend: backend.backendId,
      how,
      detail,
      runMs: Math.round(runMs),
      begunForMs: begunForMs === undefined ? undefined : Math.round(begunForMs),
    });
    metrics.interrupted.inc({ begun: String(begunForMs !== undefined) });
    if (how !== 'connection-lost') return;
    const isPartCounted = this.#sharedParts.length > 0 && isWithin(PART_START_PHASE_MS, attempt);
    await Promise.all([
      isWithin(START_PHASE_MS, attempt)
        ? quarantine.interrupted(this.#fingerprint, backend.backendId, runMs)
        : undefined,
      isPartCounted ? partCrashes.crashed(this.#partRun(backend)) : undefined,
    ]);
  }

  /** What is quarantined of this request: its fingerprint, keys of its parts. */
  get #quarantined(): string[] {
    const { quarantine } = this.#context;
    if (quarantine.isEmpty) return [];
    const names = [this.#fingerprint, ...this.#partKeys];
    return names.filter((name) => quarantine.remainingMs(name) !== undefined);
  }

  #partRun(backend: AttemptBackend): PartRun {
    return { ...backend, parts: this.#partKeys };
  }

  get #partKeys(): readonly string[] {
    this.#cachedPartKeys ??= this.#sharedParts.map(partKey);
    return this.#cachedPartKeys;
  }

  get #fingerprint(): string {
    this.#cachedFingerprint ??= requestFingerprint(this.#fingerprintParts());
    return this.#cachedFingerprint;
  }
}

/** Whether the attempt ended before its response began, or within this time after it. */
function isWithin(startPhaseMs: number, { begunForMs }: EndedAttempt): boolean {
  return begunForMs === undefined || begunForMs < startPhaseMs;
}

/** Whether the backend may have crashed under a run without this node having seen that. */
function isUnresolved({ sent }: EndedAttempt, outcome: AttemptOutcome, isPathLost: boolean): boolean {
  if (!sent) return false;
  if (outcome.kind === 'cancelled') return true;
  return (
    outcome.kind === 'broken' && (isPathLost || outcome.how === 'silent' || outcome.how === 'relay-lost')
  );
}
