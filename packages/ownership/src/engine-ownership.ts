import { Notifier, jittered, type Clock, type Random } from '@canvasridge/clock';
import type { EngineClient, EngineDefinition, EngineReport } from '@canvasridge/domain';
import { keepRunning, type Telemetry } from '@canvasridge/telemetry';
import type { OwnershipTiming } from './timing.js';

/** What a node knows about an engine when it becomes its owner. */
export interface TakeoverState {
  /** Fencing token of the claim. */
  readonly fence: number;
  /** Identifies the process of the engine that accepted the claim; it changes when the engine restarts. */
  readonly incarnation: string;
  /**
   * Report of the engine, fetched before the claim. It has another incarnation if the engine restarted in
   * between. Generations of earlier owners may still be running.
   */
  readonly report: EngineReport;
}

export interface EngineOwnershipOptions {
  readonly engine: EngineDefinition;
  readonly client: EngineClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly timing: OwnershipTiming;
  /** Identifies this process as the holder of a lease: node id and process token. */
  readonly holder: string;
  /** Whether this node should own the engine now. */
  readonly isDesiredOwner: () => boolean;
  /** Asks the current holder to release the engine; true if it has, or if it is certainly gone. */
  readonly requestRelease: (holder: string) => Promise<boolean>;
  /** Asks the published owner to release the engine, for engines that do not report their holder. */
  readonly requestReleaseFromOwner: () => Promise<boolean>;
  /** Acquires and releases leases from the witnesses, for engines that do not check fences. */
  readonly witnesses: {
    acquire(engineId: string, leaseMs: number): Promise<boolean>;
    release(engineId: string): void;
  };
  /** Whether requests or orders of this node have had an unknown outcome since the last claim. */
  readonly wantsNewFence: () => boolean;
  readonly onHeld: (state: TakeoverState) => void;
  readonly onLost: (reason: string) => void;
}

/** A fence (fencing token) is at least the number of seconds since this time. */
const FENCE_EPOCH_MS = Date.UTC(2026, 0, 1);

/**
 * Ownership of one engine by this node, run as one task: wait until this node should own the engine, claim
 * it, renew the lease, and stop immediately when the lease ends or the engine reports a higher fence.
 */
export class EngineOwnership {
  readonly engine: EngineDefinition;
  readonly #options: EngineOwnershipOptions;
  readonly #clock: Clock;
  readonly #stop = new AbortController();
  readonly #wake = new Notifier();
  #fence = 0;
  #incarnation = '';
  #leaseUntilMs = -Infinity;
  #held = false;
  #claimNotBeforeMs = -Infinity;

  constructor(options: EngineOwnershipOptions) {
    this.engine = options.engine;
    this.#options = options;
    this.#clock = options.clock;
  }

  start(): void {
    keepRunning(this.#options, 'engine-ownership', () => this.#run());
  }

  /** Releases the engine and ends the task. */
  stop(): void {
    this.release('stopped');
    this.#stop.abort();
    this.#wake.notify();
  }

  /** Fence to be sent with each order and request while the engine is held. */
  get fence(): number {
    return this.#fence;
  }

  /** Identifies the process of the engine that accepted the last claim; empty before the first claim. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /**
   * Whether orders and requests may be sent now. Checked immediately before each send: the lease is measured
   * on the monotonic clock of this machine, so a process that was suspended past the end of its lease sends
   * nothing.
   */
  get held(): boolean {
    return this.#held && this.#clock.now() < this.#leaseUntilMs;
  }

  /**
   * Whether an unload may be sent. On an engine that does not check fences, it must complete before the lease
   * ends.
   */
  get mayUnload(): boolean {
    if (!this.held) return false;
    if (this.engine.checksFence) return true;
    return this.#clock.now() + this.#options.timing.orderTimeoutMs < this.#leaseUntilMs;
  }

  /** Releases the engine immediately. Running generations continue. */
  release(reason: string): void {
    if (!this.#held) return;
    this.#endOwnership(reason);
    if (!this.engine.checksFence) this.#options.witnesses.release(this.engine.id);
  }

  /**
   * Gives the engine up because an order of this node may still reach it. A new claim uses a fence above that
   * order. If the engine does not check fences, the lease is kept but not used until the order must have
   * timed out.
   */
  abandon(reason: string): void {
    if (!this.engine.checksFence)
      this.#claimNotBeforeMs = this.#clock.now() + this.#options.timing.orderTimeoutMs;
    this.#endOwnership(reason);
  }

  /** Reports that the engine refused a request or order because its fence is outdated. */
  handleStaleFence(fence: number): void {
    if (fence === this.#fence) this.#endOwnership('stale fence');
  }

  /** Ends the current wait of the task early, after a change of membership or configuration. */
  wake(): void {
    this.#wake.notify();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (this.#held) await this.#renewAfterDelay();
      else if (this.#options.isDesiredOwner()) await this.#acquire();
      else await this.#waitForRetry(this.#options.timing.retryDelayMs * 2);
    }
  }

  #waitForRetry(delayMs: number): Promise<void> {
    return this.#wake.waitUpTo(this.#clock, jittered(delayMs, this.#options.random));
  }

  // --- acquiring ---------------------------------------------------------------------------------

  async #acquire(): Promise<void> {
    const { client, timing } = this.#options;
    if (this.#clock.now() < this.#claimNotBeforeMs) return this.#waitForRetry(timing.retryDelayMs);
    const report = await client.report();
    if (report.isErr()) return this.#waitForRetry(timing.retryDelayMs);
    const available = this.engine.checksFence
      ? await this.#canClaim(report.value)
      : await this.#acquireFromWitnesses();
    if (!available || !this.#options.isDesiredOwner()) return this.#waitForRetry(timing.retryDelayMs);
    await this.#claim(report.value);
  }

  /**
   * Whether the engine reports no holder other than this process, or one whose lease has expired, or one that
   * releases the engine on request.
   */
  async #canClaim(report: EngineReport): Promise<boolean> {
    if (report.holder === '' || report.holder === this.#options.holder) return true;
    const leaseLeftMs = report.leaseLeftMs - report.snapshotAgeMs;
    if (leaseLeftMs < 0) return true;
    return this.#options.requestRelease(report.holder);
  }

  async #acquireFromWitnesses(): Promise<boolean> {
    const { timing, witnesses } = this.#options;
    const startedAtMs = this.#clock.now();
    if (!(await witnesses.acquire(this.engine.id, timing.witnessLeaseMs))) {
      // An owner that releases the engine also releases its lease at the witnesses, so the next attempt
      // can succeed.
      await this.#options.requestReleaseFromOwner();
      return false;
    }
    this.#leaseUntilMs = startedAtMs + timing.witnessLeaseMs * (1 - timing.maxClockDrift);
    return true;
  }

  async #claim(report: EngineReport): Promise<void> {
    const { client, timing, holder, telemetry, onHeld } = this.#options;
    const startedAtMs = this.#clock.now();
    const fence = this.#nextFence(report.fence);
    const answer = await client.order(
      fence,
      { kind: 'claim', holder, leaseMs: timing.leaseMs },
      this.#stop.signal,
    );
    if (answer.isErr() || answer.value.kind !== 'done') {
      if (answer.isOk()) this.#fence = Math.max(this.#fence, answer.value.fence);
      return this.#waitForRetry(timing.retryDelayMs);
    }
    this.#fence = fence;
    this.#incarnation = answer.value.incarnation;
    if (this.engine.checksFence)
      this.#leaseUntilMs = startedAtMs + timing.leaseMs * (1 - timing.maxClockDrift);
    if (this.#clock.now() >= this.#leaseUntilMs) return;
    this.#held = true;
    telemetry.metrics.count('ownership.claimed');
    telemetry.event('info', 'ownership.claimed', this.engine.id, { fence, incarnation: this.#incarnation });
    onHeld({ fence, incarnation: this.#incarnation, report });
  }

  /**
   * Returns a fence above every fence seen and not below the number of seconds since 2026. An engine that
   * restarted has lost its fence, and an order sent by an owner before the restart must not match a new
   * fence.
   */
  #nextFence(highestSeen: number): number {
    const seconds = Math.floor((this.#clock.wallTime() - FENCE_EPOCH_MS) / 1000);
    return Math.max(highestSeen + 1, this.#fence + 1, seconds);
  }

  // --- keeping -----------------------------------------------------------------------------------

  async #renewAfterDelay(): Promise<void> {
    const { timing } = this.#options;
    await this.#clock.sleep(jittered(timing.renewPeriodMs, this.#options.random), this.#stop.signal);
    if (!this.#held || this.#stop.signal.aborted) return;
    if (!this.held) return this.#endOwnership('lease ended');
    // Renews even if another node should own the engine by now: that node requests the release, and this one
    // serves until then.
    await this.#renew();
  }

  async #renew(): Promise<void> {
    const { client, timing, holder, wantsNewFence } = this.#options;
    const startedAtMs = this.#clock.now();
    if (!this.engine.checksFence && !(await this.#renewWithWitnesses(startedAtMs))) return;
    const raisesFence = this.engine.checksFence && wantsNewFence();
    const fence = raisesFence ? this.#nextFence(this.#fence) : this.#fence;
    const order = { kind: raisesFence ? 'claim' : 'renew', holder, leaseMs: timing.leaseMs } as const;
    const answer = await client.order(fence, order, this.#stop.signal);
    if (!this.#held) return;
    if (answer.isErr()) {
      // It is unknown whether the engine has accepted the raised fence. Only a claim above both fences
      // settles this.
      if (raisesFence) this.#fence = fence;
      if (!this.held) this.#endOwnership('lease ended');
      return;
    }
    if (answer.value.kind !== 'done' || answer.value.incarnation !== this.#incarnation) {
      return this.#endOwnership('another claim or a restart');
    }
    if (this.engine.checksFence)
      this.#leaseUntilMs = startedAtMs + timing.leaseMs * (1 - timing.maxClockDrift);
    if (raisesFence) this.#recordRaisedFence(fence);
  }

  #recordRaisedFence(fence: number): void {
    this.#fence = fence;
    this.#options.telemetry.event('debug', 'ownership.fence-raised', this.engine.id, { fence });
  }

  async #renewWithWitnesses(startedAtMs: number): Promise<boolean> {
    const { timing, witnesses } = this.#options;
    if (await witnesses.acquire(this.engine.id, timing.witnessLeaseMs)) {
      this.#leaseUntilMs = startedAtMs + timing.witnessLeaseMs * (1 - timing.maxClockDrift);
      return true;
    }
    if (!this.held) this.#endOwnership('lease ended');
    return false;
  }

  #endOwnership(reason: string): void {
    if (!this.#held) return;
    this.#held = false;
    const { telemetry, onLost } = this.#options;
    telemetry.metrics.count('ownership.lost');
    telemetry.event('info', 'ownership.lost', this.engine.id, { fence: this.#fence, reason });
    onLost(reason);
  }
}
