import { Notifier, jittered, type Clock, type Random } from '@canvasridge/clock';
import type { EngineClient, EngineDefinition, EngineReport } from '@canvasridge/domain';
import type { Telemetry } from '@canvasridge/telemetry';
import type { OwnershipTiming } from './timing.js';

/** What the owner of an engine knows when it takes it over. */
export interface OwnedState {
  readonly fence: number;
  readonly incarnation: string;
  /** A snapshot from before or after the claim; generations of earlier owners may still run. */
  readonly report: EngineReport;
}

export interface EngineOwnershipOptions {
  readonly engine: EngineDefinition;
  readonly client: EngineClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly timing: OwnershipTiming;
  /** Name of this process as a holder: node and process token. */
  readonly holder: string;
  /** Whether this node should own the engine now. */
  readonly isDesired: () => boolean;
  /** Asks the present holder to let go; true when it has, or when it is certainly gone. */
  readonly requestRelease: (holder: string) => Promise<boolean>;
  /** Asks the node that is known to own the engine, where the engine itself does not tell its holder. */
  readonly requestReleaseOfOwner: () => Promise<boolean>;
  /** For engines that do not check fences: asks the witnesses for a lease. */
  readonly witnesses: {
    acquire(engineId: string, leaseMs: number): Promise<boolean>;
    release(engineId: string): void;
  };
  /** Whether requests or orders of this node were left with an unknown outcome since the last claim. */
  readonly wantsNewFence: () => boolean;
  readonly onHeld: (state: OwnedState) => void;
  readonly onLost: (reason: string) => void;
}

const FENCE_EPOCH_MS = Date.UTC(2026, 0, 1);

/**
 * This node's claim on one engine, as one task: wait until it is this node's turn, claim, renew, and
 * stop at once when the lease ends or the engine knows a higher fence.
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
  #notBeforeMs = -Infinity;

  constructor(options: EngineOwnershipOptions) {
    this.engine = options.engine;
    this.#options = options;
    this.#clock = options.clock;
  }

  start(): void {
    void this.#run();
  }

  /** Lets go of the engine and ends the task. */
  stop(): void {
    this.release('stopped');
    this.#stop.abort();
    this.#wake.notify();
  }

  get fence(): number {
    return this.#fence;
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  /**
   * Whether orders and requests may be sent now. Asked right before each send: the lease is measured
   * on this machine's monotonic clock, so a process that slept past it sends nothing on old belief.
   */
  get held(): boolean {
    return this.#held && this.#clock.now() < this.#leaseUntilMs;
  }

  /** Whether an unload may be sent: where no fence protects, it must be over before the lease is. */
  get mayUnload(): boolean {
    if (!this.held) return false;
    if (this.engine.checksFence) return true;
    return this.#clock.now() + this.#options.timing.orderTimeoutMs < this.#leaseUntilMs;
  }

  /** Gives the engine up at once; running generations go on. */
  release(reason: string): void {
    if (!this.#held) return;
    this.#lose(reason);
    if (!this.engine.checksFence) this.#options.witnesses.release(this.engine.id);
  }

  /**
   * Gives the engine up because an order of this node may still reach it. A new claim raises the fence
   * above that order; where no fence protects, the lease is kept unused until the order must be over.
   */
  abandon(reason: string): void {
    if (!this.engine.checksFence) this.#notBeforeMs = this.#clock.now() + this.#options.timing.orderTimeoutMs;
    this.#lose(reason);
  }

  /** The engine refused a request or order as stale. */
  fenceRefused(fence: number): void {
    if (fence === this.#fence) this.#lose('stale fence');
  }

  /** Wakes the task early: membership or configuration has changed. */
  wake(): void {
    this.#wake.notify();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (this.#held) await this.#keep();
      else if (this.#options.isDesired()) await this.#acquire();
      else await this.#pause(this.#options.timing.retryMs * 2);
    }
  }

  #pause(delayMs: number): Promise<void> {
    return this.#wake.waitUpTo(this.#clock, jittered(delayMs, this.#options.random));
  }

  // --- acquiring ---------------------------------------------------------------------------------

  async #acquire(): Promise<void> {
    const { client, timing } = this.#options;
    if (this.#clock.now() < this.#notBeforeMs) return this.#pause(timing.retryMs);
    const report = await client.report();
    if (report.isErr()) return this.#pause(timing.retryMs);
    const free = this.engine.checksFence
      ? await this.#holderIsGone(report.value)
      : await this.#acquireFromWitnesses();
    if (!free || !this.#options.isDesired()) return this.#pause(timing.retryMs);
    await this.#claim(report.value);
  }

  /** Whether the engine shows no holder, or one whose lease has run out or that lets go. */
  async #holderIsGone(report: EngineReport): Promise<boolean> {
    if (report.holder === '' || report.holder === this.#options.holder) return true;
    const leaseLeftMs = report.leaseLeftMs - report.snapshotAgeMs;
    if (leaseLeftMs < 0) return true;
    return this.#options.requestRelease(report.holder);
  }

  async #acquireFromWitnesses(): Promise<boolean> {
    const { timing, witnesses } = this.#options;
    const startedAtMs = this.#clock.now();
    if (!(await witnesses.acquire(this.engine.id, timing.witnessLeaseMs))) {
      // The owner gives its lease up at the witnesses when it lets go; the next try then finds it free.
      await this.#options.requestReleaseOfOwner();
      return false;
    }
    this.#leaseUntilMs = startedAtMs + timing.witnessLeaseMs * (1 - timing.clockSkew);
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
      return this.#pause(timing.retryMs);
    }
    this.#fence = fence;
    this.#incarnation = answer.value.incarnation;
    if (this.engine.checksFence) this.#leaseUntilMs = startedAtMs + timing.leaseMs * (1 - timing.clockSkew);
    if (this.#clock.now() >= this.#leaseUntilMs) return;
    this.#held = true;
    telemetry.metrics.count('ownership.claimed');
    telemetry.event('info', 'ownership.claimed', this.engine.id, { fence, incarnation: this.#incarnation });
    onHeld({ fence, incarnation: this.#incarnation, report });
  }

  /**
   * Above every fence seen, and above seconds since 2026: an engine that restarted has forgotten its
   * fence, and an order of an owner from before must not match a new one.
   */
  #nextFence(seen: number): number {
    const seconds = Math.floor((this.#clock.wallTime() - FENCE_EPOCH_MS) / 1000);
    return Math.max(seen + 1, this.#fence + 1, seconds);
  }

  // --- keeping -----------------------------------------------------------------------------------

  async #keep(): Promise<void> {
    const { timing } = this.#options;
    await this.#clock.sleep(jittered(timing.renewPeriodMs, this.#options.random), this.#stop.signal);
    if (!this.#held || this.#stop.signal.aborted) return;
    if (!this.held) return this.#lose('lease ended');
    // Also while another node should own the engine: it asks for the release, and until then this one serves.
    await this.#renew();
  }

  async #renew(): Promise<void> {
    const { client, timing, holder, wantsNewFence } = this.#options;
    const startedAtMs = this.#clock.now();
    if (!this.engine.checksFence && !(await this.#renewWithWitnesses(startedAtMs))) return;
    const raise = this.engine.checksFence && wantsNewFence();
    const fence = raise ? this.#nextFence(this.#fence) : this.#fence;
    const order = { kind: raise ? 'claim' : 'renew', holder, leaseMs: timing.leaseMs } as const;
    const answer = await client.order(fence, order, this.#stop.signal);
    if (!this.#held) return;
    if (answer.isErr()) {
      // A raised fence may or may not be in force; only a claim above both settles it.
      if (raise) this.#fence = fence;
      if (!this.held) this.#lose('lease ended');
      return;
    }
    if (answer.value.kind !== 'done' || answer.value.incarnation !== this.#incarnation) {
      return this.#lose('another claim or a restart');
    }
    if (this.engine.checksFence) this.#leaseUntilMs = startedAtMs + timing.leaseMs * (1 - timing.clockSkew);
    if (raise) this.#raised(fence);
  }

  #raised(fence: number): void {
    this.#fence = fence;
    this.#options.telemetry.event('debug', 'ownership.fence-raised', this.engine.id, { fence });
  }

  async #renewWithWitnesses(startedAtMs: number): Promise<boolean> {
    const { timing, witnesses } = this.#options;
    if (await witnesses.acquire(this.engine.id, timing.witnessLeaseMs)) {
      this.#leaseUntilMs = startedAtMs + timing.witnessLeaseMs * (1 - timing.clockSkew);
      return true;
    }
    if (!this.held) this.#lose('lease ended');
    return false;
  }

  #lose(reason: string): void {
    if (!this.#held) return;
    this.#held = false;
    const { telemetry, onLost } = this.#options;
    telemetry.metrics.count('ownership.lost');
    telemetry.event('info', 'ownership.lost', this.engine.id, { fence: this.#fence, reason });
    onLost(reason);
  }
}
