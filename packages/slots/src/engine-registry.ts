import type { Clock } from '@canvasridge/clock';
import type { BackendDescription, EngineProfile } from '@canvasridge/serving';
import { AnswerCheck } from './answer-check.js';
import type { EngineReport } from './engine-control.js';
import type { EngineEntry } from './engine-entry.js';
import { EngineRate } from './engine-rate.js';
import { EngineSlots } from './engine-slots.js';
import { OrderLease, type OrderLeaseOptions } from './order-lease.js';
import { RejectionGuard } from './rejection-guard.js';
import { newPoolSpeed, type PrefillSpeed } from './prefill-speed.js';
import { mayRunOn, type SlotRequest } from './slot-request.js';

/** How long an engine is kept after it left the published list. */
const UNLISTED_RETENTION_MS = 8000;

export interface EngineRegistryOptions {
  readonly clock: Clock;
  /** Options that the order leases of all engines share. */
  readonly lease: Omit<OrderLeaseOptions, 'backend' | 'onReport'>;
  /** Calls back after a delay, unless the pool is closed by then. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Whether prefill speeds are learnt from observations. */
  readonly learnsSpeed: boolean;
  /** Requests that an engine may turn away in a second before it fails; undefined for any number. */
  readonly rejectionLimit?: (() => number | undefined) | undefined;
  /** Called after an engine's state was updated from a report. */
  readonly onAdopted: (slots: EngineSlots) => void;
  /** Called when an engine was found to answer no more, or again. */
  readonly onAnswering: () => void;
}

/** The engines of a pool, kept in line with the published list. */
export class EngineRegistry {
  readonly #options: EngineRegistryOptions;
  readonly #engines = new Map<string, EngineEntry>();
  /** Prefill speed over all engines of the pool. */
  readonly poolSpeed: PrefillSpeed;

  constructor(options: EngineRegistryOptions) {
    this.#options = options;
    this.poolSpeed = newPoolSpeed(options.learnsSpeed);
  }

  /** All engines, including those that left the published list recently. */
  all(): Iterable<EngineEntry> {
    return this.#engines.values();
  }

  /** The engines on the published list. */
  listed(): EngineEntry[] {
    return [...this.#engines.values()].filter((entry) => entry.unlistedSinceMs === undefined);
  }

  get(id: string): EngineEntry | undefined {
    return this.#engines.get(id);
  }

  /** Whether one more request may be granted now within what the engine announced that it takes or can turn away. */
  hasRoom({ rate, rejections }: EngineEntry): boolean {
    const { clock, rejectionLimit } = this.#options;
    return rate.hasRoom && !rejections.isExhausted(rejectionLimit?.(), clock.now());
  }

  /** Whether the engine is ready, not known to answer no more, and one that may run this request. */
  mayServe(entry: EngineEntry, request: SlotRequest): boolean {
    return isReady(entry) && entry.answerCheck.isAnswering && mayRunOn(request, entry.slots.backend);
  }

  /** Whether any ready engine holds the model, regardless of which engines a request excludes. */
  serves(model: string): boolean {
    return this.#some(model, isReady);
  }

  /** Whether any engine that may serve the request holds its model. */
  servesRequest(request: SlotRequest): boolean {
    return this.#some(request.model, (entry) => this.mayServe(entry, request));
  }

  /**
   * Sum of the rate limits, in requests per second, of the engines that may serve the request and hold its model.
   * Undefined unless all of them announce a limit.
   */
  ratePerSecond(request: SlotRequest): number | undefined {
    let sum: number | undefined;
    for (const entry of this.#engines.values()) {
      if (!this.mayServe(entry, request) || !entry.slots.models.has(request.model)) continue;
      if (entry.rate.rule === undefined) return undefined;
      sum = (sum ?? 0) + entry.rate.rule.ratePerSecond;
    }
    return sum;
  }

  #some(model: string, fits: (entry: EngineEntry) => boolean): boolean {
    for (const entry of this.#engines.values()) {
      if (fits(entry) && entry.slots.models.has(model)) return true;
    }
    return false;
  }

  /** Time until orders can be given to at least one engine, in milliseconds; 0 if no engine is listed. */
  untilOrdersPossibleMs(): number {
    const untilMs = Math.min(...this.listed().map(({ lease }) => lease.untilHeldMs));
    return Number.isFinite(untilMs) ? untilMs : 0;
  }

  /** Updates the engines to the published list. */
  update(backends: readonly BackendDescription[], profile: EngineProfile): void {
    const listed = new Set(backends.map((backend) => backend.id));
    for (const [id, entry] of this.#engines) {
      if (listed.has(id)) entry.unlistedSinceMs = undefined;
      else if (entry.unlistedSinceMs === undefined) this.#unlist(id, entry);
    }
    for (const backend of backends) {
      const entry = this.#engines.get(backend.id);
      if (entry === undefined) this.#add(backend, profile);
      else {
        entry.slots.backend = backend;
        entry.slots.profile = profile;
      }
    }
  }

  close(): void {
    for (const { lease } of this.#engines.values()) lease.close();
  }

  /**
   * Keeps an engine that is no longer listed for a while, without giving it requests. Entries also expire while the
   * publishing store is unavailable, and dropping the engine would mean observing its order lease anew when it is back.
   */
  #unlist(id: string, entry: EngineEntry): void {
    const sinceMs = this.#options.clock.now();
    entry.unlistedSinceMs = sinceMs;
    this.#options.after(UNLISTED_RETENTION_MS, () => {
      if (entry.unlistedSinceMs !== sinceMs) return;
      entry.lease.close();
      this.#engines.delete(id);
    });
  }

  #add(backend: BackendDescription, profile: EngineProfile): void {
    const { clock, lease: shared, onAdopted } = this.#options;
    const slots = new EngineSlots(backend, profile, this.poolSpeed);
    const onReport = (report: EngineReport): void => {
      slots.adopt(report, clock.now());
      onAdopted(slots);
    };
    const isListed = (): boolean => this.#engines.get(backend.id)?.unlistedSinceMs === undefined;
    const lease = new OrderLease({
      ...shared,
      backend,
      mayObserve: () => shared.mayObserve() && isListed(),
      onReport,
    });
    const rate = new EngineRate(clock);
    const answerCheck = this.#newAnswerCheck(slots, isListed);
    const rejections = new RejectionGuard();
    this.#engines.set(backend.id, {
      slots,
      lease,
      rate,
      rejections,
      answerCheck,
      unlistedSinceMs: undefined,
    });
  }

  #newAnswerCheck(slots: EngineSlots, isListed: () => boolean): AnswerCheck {
    const { clock, lease, after, onAnswering } = this.#options;
    return new AnswerCheck({
      clock,
      after,
      isListed,
      telemetry: lease.telemetry,
      ask: () => this.#askForAnswer(slots.backend),
      onChange: (isAnswering) => {
        const event = isAnswering ? 'engine.answers' : 'engine.unanswering';
        lease.telemetry.event('info', event, slots.backend.id, { running: slots.running });
        onAnswering();
      },
    });
  }

  /** Resolves to whether the engine answers; undefined if the one that answered last does not either. */
  async #askForAnswer(backend: BackendDescription): Promise<boolean | undefined> {
    const { control } = this.#options.lease;
    if ((await control.report(backend)) !== undefined) return true;
    const others = this.listed().filter(({ slots }) => slots.backend.id !== backend.id);
    const [other] = others.sort((a, b) => b.answerCheck.lastAnsweredMs - a.answerCheck.lastAnsweredMs);
    if (other === undefined || (await control.report(other.slots.backend)) === undefined) return undefined;
    return false;
  }
}

function isReady(entry: EngineEntry): boolean {
  return entry.unlistedSinceMs === undefined && entry.slots.backend.state === 'ready';
}
