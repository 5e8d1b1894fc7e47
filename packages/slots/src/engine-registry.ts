import type { Clock } from '@canvasridge/clock';
import type { BackendDescription, EngineProfile } from '@canvasridge/serving';
import type { EngineReport } from './engine-control.js';
import type { EngineEntry } from './engine-entry.js';
import { EngineRate } from './engine-rate.js';
import { EngineSlots } from './engine-slots.js';
import { OrderLease, type OrderLeaseOptions } from './order-lease.js';
import { newPoolSpeed, type PrefillSpeed } from './prefill-speed.js';
import type { SlotRequest } from './slot-request.js';

/** How long an engine that left the list is remembered. */
const UNLISTED_RETENTION_MS = 8000;

export interface EngineRegistryOptions {
  readonly clock: Clock;
  /** What the leases of all engines share. */
  readonly lease: Omit<OrderLeaseOptions, 'backend' | 'onReport'>;
  /** Calls back after a time, unless the pool was closed meanwhile. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Whether engines' reading speeds are learnt. */
  readonly learnsSpeed: boolean;
  /** A report of an engine was taken over. */
  readonly onAdopted: (slots: EngineSlots) => void;
}

/** The engines of a pool, as the published list shows them. */
export class EngineRegistry {
  readonly #options: EngineRegistryOptions;
  readonly #engines = new Map<string, EngineEntry>();
  /** How fast the engines read prompts, all of them together. */
  readonly poolSpeed: PrefillSpeed;

  constructor(options: EngineRegistryOptions) {
    this.#options = options;
    this.poolSpeed = newPoolSpeed(options.learnsSpeed);
  }

  /** All engines, those included that left the list a short while ago. */
  all(): Iterable<EngineEntry> {
    return this.#engines.values();
  }

  listed(): EngineEntry[] {
    return [...this.#engines.values()].filter((entry) => entry.unlistedSinceMs === undefined);
  }

  get(id: string): EngineEntry | undefined {
    return this.#engines.get(id);
  }

  /** Whether an engine may be given the request. */
  mayServe(entry: EngineEntry, request: SlotRequest): boolean {
    return isReady(entry) && !request.excluded.includes(entry.slots.backend.id);
  }

  /** Whether any engine that takes requests holds the model, those included that the request must not be given to. */
  serves(model: string): boolean {
    return this.#some(model, isReady);
  }

  /** Whether an engine that may be given the request holds its model. */
  servesRequest(request: SlotRequest): boolean {
    return this.#some(request.model, (entry) => this.mayServe(entry, request));
  }

  /**
   * Requests a second that the engines which may be given the request and hold its model take together; undefined unless all of
   * them name a limit.
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

  /** How long until loads can be ordered on any engine; 0 while no engine is listed. */
  untilOrdersPossibleMs(): number {
    const untilMs = Math.min(...this.listed().map(({ lease }) => lease.untilHeldMs));
    return Number.isFinite(untilMs) ? untilMs : 0;
  }

  /** Takes over the published list. */
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
   * Keeps an engine that is not listed any more for a while, without giving it work: entries also lapse while
   * the publishing store is away, and the right to order would have to be observed anew when they are back.
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
    this.#engines.set(backend.id, { slots, lease, rate, unlistedSinceMs: undefined });
  }
}

function isReady(entry: EngineEntry): boolean {
  return entry.unlistedSinceMs === undefined && entry.slots.backend.state === 'ready';
}
