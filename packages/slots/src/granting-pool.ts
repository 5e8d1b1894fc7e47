import type { PoolRequest, RunningUse, SlotDecision, StreamProgress, UseOutcome } from './slot-request.js';

/** Figures of any pool for logs and metrics. */
export interface GrantFigures {
  /** Waiting requests. */
  readonly waiting: number;
  /** Running requests. */
  readonly running: number;
  /** Share of the recent requests of each priority that were granted a slot, as `PRIORITY:SHARE` with spaces between. */
  readonly shares: string;
}

/**
 * A pool as seen by the code that exchanges messages with other nodes: it grants slots of one service to requests, on the
 * node that leads it. What concerns engines only, such as orders, is not part of it.
 */
export interface GrantingPool {
  /** Called when this node becomes leader of the pool. */
  startLeading(): void;
  /** Requests a slot. `decide` is called exactly once, possibly before this method returns. */
  acquire(request: PoolRequest, decide: (decision: SlotDecision) => void): void;
  /**
   * Removes a waiting request.
   * @param isWithdrawn whether its node gave up asking, and not its client
   */
  cancel(requestId: string, isWithdrawn?: boolean): void;
  /** Called when the response of a granted request has started. */
  started(requestId: string): void;
  /**
   * Called when a granted request has ended; ignored for a request that is unknown or has ended before.
   * @param progress how fast the events of its stream came; undefined if it was none or that is not known
   */
  release(requestId: string, outcome: UseOutcome, progress?: StreamProgress): void;
  /** Adds a running request that a former leader granted, or that was sent without a grant. */
  adoptUse(use: RunningUse): void;
  /** Called when all nodes have reported their running requests. */
  handleAllUsesReported(): void;
  /** Refuses all waiting requests and stops. */
  close(): void;
  /** Returns the pool's figures for logs and metrics. */
  describe(): GrantFigures;
}
