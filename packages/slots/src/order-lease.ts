import { Notifier, type Clock } from '@canvasridge/clock';
import type { BackendDescription } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import {
  ORDER_TIMEOUT_MS,
  type EngineControl,
  type EngineReport,
  type OrderReply,
  type OrderSubject,
} from './engine-control.js';
import { OrderFence } from './order-fence.js';
import type { SlotTiming } from './timing.js';

/** Orders with higher and higher fences before a holder that is refused takes another one to be active. */
const MAX_FENCED_ORDERS = 2;
/**
 * A report that shows the expected count vouches for an order that is begun this soon after the report was asked for, in
 * milliseconds: about the time by which reports are late themselves, so a longer one would double what they can't show.
 */
const REPORT_VALID_MS = 200;

export interface OrderHolder {
  readonly name: string;
  /** Different for every machine; its lowest 14 bits are used. */
  readonly number: number;
}

export interface OrderLeaseOptions {
  readonly backend: BackendDescription;
  readonly control: EngineControl;
  /** Never ahead of the time that has passed: for waiting until the lease of another holder has ended. */
  readonly clock: Clock;
  /** Never behind it, also where the machine was suspended: for what orders and reports have proved. */
  readonly fleetClock: Clock;
  readonly timing: SlotTiming;
  readonly holder: OrderHolder;
  readonly telemetry: Telemetry;
  /** Whether this node may give orders at all; asked before each. */
  readonly mayOrder: () => boolean;
  /** Rises with each change of the leader, as far as this node saw them. */
  readonly term: () => number;
  /** Whether this node reads reports, so as to become holder without delay once it may order. */
  readonly mayObserve: () => boolean;
  /** Whether an engine that never took an order can be taken at once, as no other node can lead. */
  readonly mayTakeUnused: () => boolean;
  /** Whether an engine whose count stood still for a lease can be taken, or the leader before may not know yet. */
  readonly mayTake: () => boolean;
  /**
   * Whether any engine can be taken at once: engines refuse the orders of holders with lower fences, and the
   * holder before this one is known to be gone.
   */
  readonly mayTakeAtOnce: () => boolean;
  /** Reports show that another node gives orders to the engine. */
  readonly onForeignOrders: () => void;
  /** A report was read from which the state of the engine is to be taken over. */
  readonly onReport: (report: EngineReport) => void;
}

type LeaseState =
  | { readonly kind: 'observing'; readonly count: number | undefined; readonly sinceMs: number }
  | { readonly kind: 'held'; readonly nextCount: number }
  | {
      readonly kind: 'settling';
      /** Counts that the holder's own orders explain; undefined if any will do, as its fence was merely too low. */
      readonly possibleCounts: readonly number[] | undefined;
      readonly sinceMs: number;
    }
  | { readonly kind: 'closed' };

/** The order was not sent, since this node does not hold the engine (now). */
export interface NotHeld {
  readonly kind: 'not-held';
}

/**
 * The right to give orders to one engine, without any memory outside of it. The
 * engine's count of orders is the register: a node becomes holder when the count has stood still for a lease,
 * as its own reports show, and each order names the count that it expects. So the order of another holder is
 * either seen while waiting, or makes the next order here fail.
 *
 * What was true for one lease only is not acted on after it: a holder whose last counted order is older than that reads
 * a report before its next order, as any other node may have taken the engine meanwhile.
 *
 * Where engines refuse lower fences, a holder that follows one that is gone does not wait: an order of the
 * former one that still arrives names a count that has passed.
 */
export class OrderLease {
  readonly #options: OrderLeaseOptions;
  readonly #changed = new Notifier();
  /** Orders that were refused for a low fence since one was taken. */
  #fencedOrders = 0;
  /** Whether the engine took an order since this node became holder. */
  #hasOrdered = false;
  /** Another holder is active, so the engine is not taken at once again but after a whole lease. */
  #isContested = false;
  #state: LeaseState = { kind: 'observing', count: undefined, sinceMs: 0 };
  #lastOrder: Promise<void> = Promise.resolve();
  /** Until when no other node can have become holder, as far as orders and reports have shown, on the fleet clock. */
  #exclusiveUntilMs = -Infinity;
  readonly #fence: OrderFence;

  constructor(options: OrderLeaseOptions) {
    this.#options = options;
    this.#fence = new OrderFence(options.holder.number, options.term);
    void this.#run();
  }

  get held(): boolean {
    return this.#state.kind === 'held';
  }

  /** How long until this node becomes holder, in milliseconds, if nothing comes between. Infinity if closed. */
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

  /** Looks again at once, since this node may order now. */
  wake(): void {
    if (this.#state.kind === 'observing') this.#changed.notify();
  }

  /** Stops for good. */
  close(): void {
    this.#enter({ kind: 'closed' });
  }

  /** Forgets what was known, as after a pause: the lease has to be observed again. */
  reset(reason: string): void {
    if (this.#state.kind === 'closed') return;
    this.#logLost(reason);
    this.#enter({ kind: 'observing', count: undefined, sinceMs: 0 });
  }

  /** Reads the engine's state again before the next order. */
  settle(): void {
    if (this.#state.kind !== 'held') return;
    this.#enter({
      kind: 'settling',
      possibleCounts: [this.#state.nextCount],
      sinceMs: this.#options.clock.now(),
    });
  }

  /** Gives one order; orders to one engine follow one another. */
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
    const reply = await control.order(backend, { ...subject, expectedCount, holder: holder.name, fence });
    telemetry.event('info', 'order.answered', backend.id, {
      action: subject.action,
      adapter: subject.adapter,
      expectedCount,
      fence,
      reply: reply.kind,
      tookMs: Math.round(clock.now() - startedMs),
    });
    this.#applyReply(subject, reply, expectedCount, startedFleetMs);
    return reply;
  }

  /** Whether the engine still shows what this node expects; if not, it has another holder, or none that is known. */
  async #verifyHeld(held: LeaseState & { kind: 'held' }): Promise<void> {
    const { clock, fleetClock, control, backend } = this.#options;
    const askedMs = clock.now();
    const askedFleetMs = fleetClock.now();
    const report = await control.report(backend);
    if (this.#state !== held) return;
    if (report === undefined) {
      this.settle();
    } else if (report.orderCount === held.nextCount) {
      this.#exclusiveUntilMs = askedFleetMs + REPORT_VALID_MS;
    } else {
      this.#handleForeignOrders(report.orderCount, askedMs, String(held.nextCount));
    }
  }

  #handleForeignOrders(count: number, askedMs: number, expected: string): void {
    // A count that went on after an own order is another holder's work. Before, it may be the former one's last.
    this.#isContested ||= this.#hasOrdered;
    this.#logLost(`count is ${count}, expected ${expected}`);
    this.#enter({ kind: 'observing', count, sinceMs: askedMs });
    this.#options.onForeignOrders();
  }

  /** An order was counted: for a lease from its arrival nobody else takes the engine, and the next one is on its way in time. */
  #recordCountedOrder(expectedCount: number, startedFleetMs: number): void {
    this.#hasOrdered = true;
    this.#exclusiveUntilMs = startedFleetMs + this.#options.timing.leaseMs - ORDER_TIMEOUT_MS;
    this.#state = { kind: 'held', nextCount: expectedCount + 1 };
  }

  #applyReply(subject: OrderSubject, reply: OrderReply, expectedCount: number, startedFleetMs: number): void {
    // A reset or close while the answer was on its way stands.
    if (this.#state.kind !== 'held' || this.#state.nextCount !== expectedCount) return;
    const sinceMs = this.#options.clock.now();
    switch (reply.kind) {
      case 'accepted':
        this.#fencedOrders = 0;
        this.#recordCountedOrder(expectedCount, startedFleetMs);
        return;
      case 'done':
        // An unload is counted when it is done; a load that was not needed is not.
        if (subject.action === 'unload') this.#recordCountedOrder(expectedCount, startedFleetMs);
        return;
      case 'conflict':
        this.#enter({ kind: 'settling', possibleCounts: [expectedCount], sinceMs });
        return;
      case 'unknown':
        this.#enter({ kind: 'settling', possibleCounts: [expectedCount, expectedCount + 1], sinceMs });
        return;
      case 'rejected':
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
   * The engine saw a higher fence: of a holder that is gone, whose last orders the report did not show yet, or of
   * one that is active. In the first case a few higher fences get through, in the second a whole lease is waited.
   * After an order that was taken it is the second.
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
    const { clock, fleetClock, timing, backend, control, mayOrder, mayTake, mayObserve } = this.#options;
    const askedMs = clock.now();
    const askedFleetMs = fleetClock.now();
    const report = mayObserve() ? await control.report(backend) : undefined;
    if (this.#state !== state) return;
    if (report === undefined) {
      this.#state = { kind: 'observing', count: undefined, sinceMs: 0 };
      await this.#changed.waitUpTo(clock, timing.observePeriodMs);
      return;
    }
    if (report.orderCount === 0 && mayOrder() && this.#options.mayTakeUnused()) {
      this.#becomeHolder(report, askedFleetMs, 'unused');
      return;
    }
    if (mayOrder() && !this.#isContested && this.#options.mayTakeAtOnce()) {
      this.#becomeHolder(report, askedFleetMs, 'fenced-off');
      return;
    }
    const unchanged = report.orderCount === state.count;
    if (!unchanged && state.count !== undefined) this.#options.onForeignOrders();
    const sinceMs = unchanged ? state.sinceMs : askedMs;
    const leftMs = sinceMs + timing.leaseMs + timing.leaseMarginMs - askedMs;
    if (unchanged && leftMs <= 0 && mayOrder() && mayTake()) {
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
    const askedMs = clock.now();
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
    this.#handleForeignOrders(report.orderCount, askedMs, state.possibleCounts?.join(' or '));
  }

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
