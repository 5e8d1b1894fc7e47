import type { Clock } from '@canvasridge/clock';
import type { RunningUse, SlotRequest } from '@canvasridge/slots';

interface OwnUse {
  readonly pool: string;
  readonly backendId: string;
  readonly request: SlotRequest;
  readonly endsMs: number;
  started: boolean;
}

/**
 * The requests that this node runs on engines. A leader keeps what it has granted in memory only, so the
 * nodes report their requests to its successor.
 */
export class OwnUses {
  readonly #clock: Clock;
  readonly #uses = new Map<string, OwnUse>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  begin(pool: string, request: SlotRequest, backendId: string): void {
    const endsMs = this.#clock.now() + request.timeoutMs - request.ageMs;
    this.#uses.set(request.id, { pool, backendId, request, endsMs, started: false });
  }

  started(requestId: string): void {
    const use = this.#uses.get(requestId);
    if (use !== undefined) use.started = true;
  }

  /** Removes a request and returns the engine on which it ran; undefined if none is known. */
  end(requestId: string): string | undefined {
    const use = this.#uses.get(requestId);
    this.#uses.delete(requestId);
    return use?.backendId;
  }

  /** The requests that currently run on the engines of a pool. */
  of(pool: string): RunningUse[] {
    const nowMs = this.#clock.now();
    const uses: RunningUse[] = [];
    for (const [requestId, use] of this.#uses) {
      if (use.pool !== pool) continue;
      const { model, adapter, promptTokens } = use.request;
      const { backendId, started } = use;
      uses.push({ requestId, backendId, model, adapter, promptTokens, started, leftMs: use.endsMs - nowMs });
    }
    return uses;
  }
}
