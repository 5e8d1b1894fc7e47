import type { Clock } from '@canvasridge/clock';
import {
  softwareVersionOf,
  type BackendDescription,
  type BackendService,
  type HttpRoute,
} from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { GatewayMetrics } from '../gateway-metrics.js';
import { MAX_LIFE_MS } from '../streams/stream-version-protocol.js';
import type { StreamVersions } from '../streams/stream-versions.js';
import type { RequestFacts } from './dialect.js';

/** What the bindings of all streams of a node share. */
export interface StreamBindingContext {
  readonly clock: Clock;
  readonly streamVersions: Pick<StreamVersions, 'began' | 'find'>;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/** A stream may be resumed for this multiple of its route's timeout: clients wait longer than a single try may take. */
const LIFE_PER_TIMEOUT = 2;

/**
 * Binds a resumable stream to the software version of the backend that sent its first event, as the events of two
 * versions don't fit together. The binding holds for all later backends, also when the client resumes the stream.
 */
export class StreamBinding {
  readonly #context: StreamBindingContext;
  readonly #facts: RequestFacts;
  #version: string | undefined;

  constructor(context: StreamBindingContext, facts: RequestFacts) {
    this.#context = context;
    this.#facts = facts;
  }

  /** Software version of the backends that may run the stream; undefined if any may. */
  get version(): string | undefined {
    return this.#version;
  }

  /** Whether a backend may run the stream. */
  allows(backend: BackendDescription): boolean {
    return this.#version === undefined || this.#version === softwareVersionOf(backend);
  }

  /**
   * Finds the version that began the stream if the client resumes one. Resolves to false if it is not known, so that
   * the stream can't be continued.
   */
  async resume(route: HttpRoute, service: BackendService): Promise<boolean> {
    const { lastEventId, resumedAttemptId, attemptId } = this.#facts;
    if (!isResumable(route) || lastEventId === undefined) return true;
    const { clock, streamVersions, telemetry, metrics } = this.#context;
    const askedMs = clock.now();
    const found = await streamVersions.find({
      service: service.name,
      attemptId: resumedAttemptId,
      lifeMs: lifeOf(route),
    });
    this.#version = found?.version;
    const from = found?.from ?? 'unknown';
    metrics.resumedStreams.inc({ from });
    telemetry.event('info', 'stream.resumed', attemptId ?? 'none', {
      resumes: resumedAttemptId,
      lastEventId,
      from,
      version: found?.version,
      tookMs: Math.round(clock.now() - askedMs),
    });
    return found !== undefined;
  }

  /**
   * Binds the stream to the version of a backend that may still run it while another one is looked for. All runs of an
   * attempt that may overlap are then of one version, so that engines' reports of them tell the stream's version.
   */
  bindToRunAt(route: HttpRoute, backend: BackendDescription): void {
    if (isResumable(route)) this.#version ??= softwareVersionOf(backend);
  }

  /** To be called when a backend has sent the first event of its response, before that reaches the client. */
  began(route: HttpRoute, service: BackendService, backend: BackendDescription): void {
    if (!isResumable(route)) return;
    this.#version ??= softwareVersionOf(backend);
    const { lastEventId, resumedAttemptId } = this.#facts;
    const attemptId = lastEventId === undefined ? this.#facts.attemptId : resumedAttemptId;
    if (attemptId === undefined) return;
    const { streamVersions } = this.#context;
    streamVersions.began({
      service: service.name,
      attemptId,
      version: this.#version,
      lifeMs: lifeOf(route),
    });
  }
}

function isResumable(route: HttpRoute): boolean {
  return route.kind === 'stream' && route.resumable;
}

function lifeOf(route: HttpRoute): number {
  return Math.min(route.timeoutMs * LIFE_PER_TIMEOUT, MAX_LIFE_MS);
}
