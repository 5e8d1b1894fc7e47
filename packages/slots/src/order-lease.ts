import { Notifier, type Clock } from '@canvasridge/clock';
import type { BackendDescription } from '@canvasridge/serving';
import { keepRunning, type Telemetry } from '@canvasridge/telemetry';
import {
  ORDER_TIMEOUT_MS,
  type EngineControl,
  type EngineReport,
  type OrderReply,
  type OrderSubject,
} from './engine-control.js';
import { OrderFence } from './order-fence.js';
import type { SlotTiming } from './timing.js';

/**
 * How many consecutive orders may be rejected for a low fence, each retried with a higher one. After one more, another
 * holder is assumed active.
 */
const MAX_FENCED_ORDERS = 2;
/**
 * How long after a report was requested an order may rely on the count in it, in milliseconds. Reports themselves lag by
 * about as much, so with a longer time foreign orders could go unnoticed for more than twice that lag.
 */
const REPORT_VALID_MS = 200;

/** The node that gives orders, as engines see it. */
export interface OrderHolder {
  readonly name: string;
  /** Unique per machine. Only the lowest 14 bits are used, as part of the fence. */
  readonly number: number;
}

export interface OrderLeaseOptions {
  readonly backend: BackendDescription;
  readonly control: EngineControl;
  /** Never runs ahead of real time. Used to wait until another holder's lease has ended. */
  readonly clock: Clock;
  /** Never falls behind real time, even if the machine was suspended. Used to expire what orders and reports have proved. */
  readonly fleetClock: Clock;
  readonly timing: SlotTiming;
  readonly holder: OrderHolder;
  readonly telemetry: Telemetry;
  /** Whether this node may give orders at all. Checked before each order. */
  readonly mayOrder: () => boolean;
  /** The leadership term: rises with each change of leader that this node has seen. */
  readonly term: () => number;
  /** Whether this node reads reports in advance, so that it becomes holder without delay once it may give orders. */
  readonly mayObserve: () => boolean;
  /** Whether an engine with an order count of 0 may be taken at once, because no other node can be leading. */
  readonly mayTakeUnused: () => boolean;
  /**
   * Whether an engine may be taken whose count did not change for a whole lease. False while the previous leader may not
   * yet know that it was replaced.
   */
  readonly mayTakeAfterLease: () => boolean;
  /**
   * Whether any engine may be taken at once, because engines reject orders with lower fences and the previous holder is
   * known to be gone.
   */
  readonly mayTakeAtOnce: () => boolean;
  /** Called when reports show that another node gives orders to the engine. */
  readonly onForeignOrders: () => void;
  /** Called with each report from which the engine's state should be updated. */
  readonly onReport: (report: EngineReport) => void;
}

/**
 * `observing`: another node may be the holder, so reports are read until `count` has not changed for a lease since
 * `sinceMs`, when the first report with it was answered. `held`: this node is the holder. `settling`: this node is the
 * holder but does not know the engine's state for certain, for example after an unanswered order, so it reads a report
 * before its next order. `closed`: final.
 */
type LeaseState =
  | { readonly kind: 'observing'; readonly count: number | undefined; readonly sinceMs: number }
  | { readonly kind: 'held'; readonly nextCount: number }
  | {
      readonly kind: 'settling';
      /** Counts that the holder's own orders can explain. Undefined if any count is fine because only the fence was too low. */
      readonly possibleCounts: readonly number[] | undefined;
      readonly sinceMs: number;
    }
  | { readonly kind: 'closed' };

/**
 * The order was not sent: this node is not the holder of the engine, has yet to confirm that it still is, or may not give
 * orders now.
 */
export interface NotHeld {
  readonly kind: 'not-held';
}

/**
 * The exclusive right to give orders to one engine. The only shared state is the engine's own order count: a node becomes
 * holder when its reports show that the count has not changed for one lease, and each order names the count it expects
 * (compare-and-set). An order of another holder is therefore either seen while waiting, or makes this node's next order
 * fail.
 *
 * A counted order proves exclusiveness for one lease only. A holder whose last counted order is older reads a report
 * before its next order, since any other node may have taken the engine in the meantime.
 *
 * Where engines reject lower fences, the successor of a holder that is gone does not wait for the lease: a late order of
 * the former holder names a count that has passed.
 */
export class OrderLease {
  readonly #options: OrderLeaseOptions;
  readonly #changed = new Notifier();
  /** Orders rejected for a low fence since the last accepted one. */
  #fencedOrders = 0;
  /** Whether the engine has counted an order since this node became holder. */
  #hasOrdered = false;
  /** Another holder is active, so the engine may not be taken at once again, only after a whole lease. */
  #isContested = false;
  #state: LeaseState = { kind: 'observing', count: undefined, sinceMs: 0 };
  /** Resolves when the last queued order has been answered. */
  #lastOrder: Promise<void> = Promise.resolve();
  /** Until when orders and reports prove that no other node can have become holder, on the fleet clock. */
  #exclusiveUntilMs = -Infinity;
  readonly #fence: OrderFence;

  constructor(options: OrderLeaseOptions) {
    this.#options = options;
    this.#fence = new OrderFence(options.holder.number, options.term);
    keepRunning(options, 'order-lease', () => this.#run());
  }

  get held(): boolean {
    return this.#state.kind === 'held';
  }

  /**
   * Time until this node can become holder by observing an unchanged count for a whole lease, in milliseconds, if no order
   * of another node is seen before. It becomes holder sooner if it may take the engine at once. Infinity if closed.
   */
  get untilHeldMs(): number {
    const state = this.#state;
    const { timing, clock } = this.#options;
    switch (state.kind) {
      case 'held':
      case 'settling':
        return 0;
      case 'observing': {
        const leaseMs = timing.leaseMs + timing.leaseMarginMs;
        return state.count === undefined ? leaseMs : Math.max(state.sinceMs + leaseMs - clock.now(), 0);
      }
      case 'closed':
        return Infinity;
    }
  }

  /** Checks again at once whether the engine can be taken, as when this node may give orders now. */
  wake(): void {
    if (this.#state.kind === 'observing') this.#changed.notify();
  }

  /** Gives up the lease for good. */
  close(): void {
    this.#enter({ kind: 'closed' });
  }

  /** Gives up the lease and discards what was observed, for example after a process pause. */
  reset(reason: string): void {
    if (this.#state.kind === 'closed') return;
    this.#logLost(reason);
    this.#enter({ kind: 'observing', count: undefined, sinceMs: 0 });
  }

  /** Holds back further orders until a new report of the engine has been read. */
  settle(): void {
    if (this.#state.kind !== 'held') return;
    this.#enter({
      kind: 'settling',
      possibleCounts: [this.#state.nextCount],
      sinceMs: this.#options.clock.now(),
    });
  }

  /** Sends one order. Orders to the engine are sent one at a time, in the order of the calls. */
  async order(subject: OrderSubject): Promise<OrderReply | NotHeld> {
    const previous = this.#lastOrder;
    let finish = (): void => undefined;
    this.#lastOrder = new Promise((resolve) => {
      finish = resolve;
    });
    await previous;
    try {
      return await this.#send(subject);
    } finally {
      finish();
    }
  }

  async #send(subject: OrderSubject): Promise<OrderReply | NotHeld> {
    const { backend, control, holder, mayOrder, clock, fleetClock, telemetry } = this.#options;
    if (this.#state.kind === 'held' && fleetClock.now() >= this.#exclusiveUntilMs)
      await this.#verifyHeld(this.#state);
    if (!mayOrder() || this.#state.kind !== 'held') return { kind: 'not-held' };
    const expectedCount = this.#state.nextCount;
    const fence = this.#fence.raiseTo(expectedCount);
    const startedMs = clock.now();
    const startedFleetMs = fleetClock.now();
    const order = { ...subject, expectedCount, holder: holder.name, fence };
    const reply = await control.order(backend, order, () => mayOrder() && this.#expects(expectedCount));
    telemetry.event('info', 'order.answered', backend.id, {
      action: subject.action,
      adapter: subject.adapter,
      expectedCount,
      fence,
      reply: reply.kind,
      tookMs: Math.round(clock.now() - startedMs),
    });
    this.#applyReply(subject, reply, expectedCount, startedFleetMs);
    return reply.kind === 'not-sent' ? { kind: 'not-held' } : reply;
  }

  /** Whether this node still holds the engine, and no order was counted since. */
  #expects(count: number): boolean {
    return this.#state.kind === 'held' && this.#state.nextCount === count;
  }

  /**
   * Reads a report to check that the engine's count is still the expected one. If not, another node is the holder; without
   * a report, the state is unknown and has to settle.
   */
  async #verifyHeld(held: LeaseState & { kind: 'held' }): Promise<void> {
    const { fleetClock, control, backend } = this.#options;
    const askedFleetMs = fleetClock.now();
    const report = await control.report(backend);
    if (this.#state !== held) return;
    if (report === undefined) {
      this.settle();
    } else if (report.orderCount === held.nextCount) {
      this.#exclusiveUntilMs = askedFleetMs + REPORT_VALID_MS;
    } else {
      this.#handleForeignOrders(report.orderCount, String(held.nextCount));
    }
  }

  /** Call it as soon as the report has been answered. */
  #handleForeignOrders(count: number, expected: string): void {
    // Once this node has ordered, further counts come from another active holder. Before that, they may be the last
    // orders of the former holder.
    this.#isContested ||= this.#hasOrdered;
    this.#logLost(`count is ${count}, expected ${expected}`);
    this.#enter({ kind: 'observing', count, sinceMs: this.#options.clock.now() });
    this.#options.onForeignOrders();
  }

  /**
   * The engine counted an order, so no other node takes it for one lease from the order's arrival. The next order may
   * take up to ORDER_TIMEOUT_MS to arrive and has to do so within that lease.
   */
  #recordCountedOrder(expectedCount: number, startedFleetMs: number): void {
    this.#hasOrdered = true;
    this.#exclusiveUntilMs = startedFleetMs + this.#options.timing.leaseMs - ORDER_TIMEOUT_MS;
    this.#state = { kind: 'held', nextCount: expectedCount + 1 };
  }

  #applyReply(subject: OrderSubject, reply: OrderReply, expectedCount: number, startedFleetMs: number): void {
    // If the lease was reset or closed while the reply was in flight, that takes precedence.
    if (!this.#expects(expectedCount)) return;
    const sinceMs = this.#options.clock.now();
    switch (reply.kind) {
      case 'accepted':
        this.#fencedOrders = 0;
        this.#recordCountedOrder(expectedCount, startedFleetMs);
        return;
      case 'done':
        // Engines count a completed unload, but not a load of something already loaded.
        if (subject.action === 'unload') this.#recordCountedOrder(expectedCount, startedFleetMs);
        return;
      case 'conflict':
        this.#enter({ kind: 'settling', possibleCounts: [expectedCount], sinceMs });
        return;
      case 'unknown':
        this.#enter({ kind: 'settling', possibleCounts: [expectedCount, expectedCount + 1], sinceMs });
        return;
      case 'rejected':
      case 'not-sent':
        return;
      case 'fenced':
        this.#handleHigherFence(sinceMs);
        return;
      case 'other-instance':
        this.close();
        return;
    }
  }

  /**
   * The engine has seen a higher fence, either from a former holder whose last orders the report did not show yet, or from
   * an active one. In the first case it is enough to retry a few times with higher fences. In the second case this node
   * waits for a whole lease; that is certain if the engine has already counted an order of this holder.
   */
  #handleHigherFence(sinceMs: number): void {
    this.#fence.raise();
    this.#fencedOrders += 1;
    if (!this.#hasOrdered && this.#fencedOrders <= MAX_FENCED_ORDERS) {
      this.#enter({ kind: 'settling', possibleCounts: undefined, sinceMs });
      return;
    }
    this.#isContested = true;
    this.#logLost('another holder has a higher fence');
    this.#enter({ kind: 'observing', count: undefined, sinceMs: 0 });
  }

  async #run(): Promise<void> {
    for (;;) {
      const state = this.#state;
      switch (state.kind) {
        case 'closed':
          return;
        case 'held':
          await this.#changed.wait();
          break;
        case 'observing':
          await this.#observe(state);
          break;
        case 'settling':
          await this.#finishSettling(state);
          break;
      }
    }
  }

  async #observe(state: LeaseState & { kind: 'observing' }): Promise<void> {
    const { clock, fleetClock, timing, backend, control, mayOrder, mayTakeAfterLease, mayObserve } =
      this.#options;
    const askedMs = clock.now();
    const askedFleetMs = fleetClock.now();
    const report = mayObserve() ? await control.report(backend) : undefined;
    if (this.#state !== state) return;
    if (report === undefined) {
      this.#state = { kind: 'observing', count: undefined, sinceMs: 0 };
      await this.#changed.waitUpTo(clock, timing.observePeriodMs);
      return;
    }
    // May reset this lease, if it finds that the process was paused.
    const isAllowed = mayOrder();
    if (this.#state !== state) return;
    if (report.orderCount === 0 && isAllowed && this.#options.mayTakeUnused()) {
      this.#becomeHolder(report, askedFleetMs, 'unused');
      return;
    }
    if (isAllowed && !this.#isContested && this.#options.mayTakeAtOnce()) {
      this.#becomeHolder(report, askedFleetMs, 'fenced-off');
      return;
    }
    const unchanged = report.orderCount === state.count;
    if (!unchanged && state.count !== undefined) this.#options.onForeignOrders();
    // The engine may have taken its state at any time until the answer.
    const sinceMs = unchanged ? state.sinceMs : clock.now();
    const leftMs = sinceMs + timing.leaseMs + timing.leaseMarginMs - askedMs;
    if (unchanged && leftMs <= 0 && isAllowed && mayTakeAfterLease()) {
      this.#fencedOrders = 0;
      this.#isContested = false;
      this.#becomeHolder(report, askedFleetMs, 'observed');
      return;
    }
    this.#options.onReport(report);
    this.#state = { kind: 'observing', count: report.orderCount, sinceMs };
    const pauseMs = leftMs > 0 ? Math.min(timing.observePeriodMs, leftMs) : timing.observePeriodMs;
    await this.#changed.waitUpTo(clock, pauseMs);
  }

  async #finishSettling(state: LeaseState & { kind: 'settling' }): Promise<void> {
    const { clock, fleetClock, timing, backend, control } = this.#options;
    const leftMs = state.sinceMs + timing.settleMs - clock.now();
    if (leftMs > 0) {
      await this.#changed.waitUpTo(clock, leftMs);
      return;
    }
    const askedFleetMs = fleetClock.now();
    const report = await control.report(backend);
    if (this.#state !== state) return;
    if (report === undefined) {
      await this.#changed.waitUpTo(clock, timing.observePeriodMs);
      return;
    }
    if (state.possibleCounts?.includes(report.orderCount) !== false) {
      this.#becomeHolder(report, askedFleetMs, 'settled');
      return;
    }
    this.#handleForeignOrders(report.orderCount, state.possibleCounts?.join(' or '));
  }

  /** @param how why this node may become holder, for the log */
  #becomeHolder(report: EngineReport, askedFleetMs: number, how: string): void {
    if (how !== 'settled') {
      this.#hasOrdered = false;
      this.#fence.startAt(report.orderCount);
    }
    this.#exclusiveUntilMs = askedFleetMs + REPORT_VALID_MS;
    this.#state = { kind: 'held', nextCount: report.orderCount };
    this.#options.telemetry.event('info', 'order-lease.held', this.#options.backend.id, {
      how,
      orderCount: report.orderCount,
    });
    this.#options.onReport(report);
  }

  #logLost(reason: string): void {
    if (this.#state.kind === 'observing') return;
    this.#options.telemetry.event('warn', 'order-lease.lost', this.#options.backend.id, { reason });
  }

  #enter(state: LeaseState): void {
    this.#state = state;
    this.#changed.notify();
  }
}
