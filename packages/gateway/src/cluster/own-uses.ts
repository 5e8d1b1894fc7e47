import type { Clock } from '@canvasridge/clock';
import { isEngineRequest, type PoolRequest, type RunningUse } from '@canvasridge/slots';

/** How a request to a plain backend is reported. */
const NO_MODEL = { model: '', adapter: undefined, promptTokens: 0 };

interface OwnUse {
  readonly pool: string;
  readonly backendId: string;
  readonly request: PoolRequest;
  readonly endsMs: number;
  started: boolean;
}

/**
 * The requests that this node runs on engines, or on backends that a leader grants. A leader keeps what it has granted in memory only, so the
 * nodes report their requests to its successor.
 */
export class OwnUses {
  readonly #clock: Clock;
  readonly #uses = new Map<string, OwnUse>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  begin(pool: string, request: PoolRequest, backendId: string): void {
    const endsMs = this.#clock.now() + request.timeoutMs - request.ageMs;
    this.#uses.set(request.id, { pool, backendId, request, endsMs, started: false });
  }

  started(requestId: string): void {
    const use = this.#uses.get(requestId);
    if (use !== undefined) use.started = true;
  }

  /** Removes a request and returns the backend on which it ran; undefined if none is known. */
  end(requestId: string): string | undefined {
    const use = this.#uses.get(requestId);
    this.#uses.delete(requestId);
    return use?.backendId;
  }

  /** The requests that currently run on the backends of a pool. */
  of(pool: string): RunningUse[] {
    const nowMs = this.#clock.now();
    const uses: RunningUse[] = [];
    for (const [requestId, use] of this.#uses) {
      if (use.pool !== pool) continue;
      const { backendId, started, request } = use;
      const { model, adapter, promptTokens } = isEngineRequest(request) ? request : NO_MODEL;
      uses.push({ requestId, backendId, model, adapter, promptTokens, started, leftMs: use.endsMs - nowMs });
    }
    return uses;
  }
}
