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
 * The requests that this node runs on engines. What a leader has granted is in its memory only, so its
 * successor is told by the nodes themselves.
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

  /** The engine on which a request ran; undefined if none is known. */
  end(requestId: string): string | undefined {
    const use = this.#uses.get(requestId);
    this.#uses.delete(requestId);
    return use?.backendId;
  }

  /** What runs on the engines of a pool now. */
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
