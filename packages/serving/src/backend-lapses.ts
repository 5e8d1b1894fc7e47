import type { Clock } from '@canvasridge/clock';
import type { BackendDescription } from './backend.js';
import type { FleetState, Revised } from './fleet-state.js';

/** Removals within this time after the store answers again are taken for entries that lapsed meanwhile. */
const RETURN_WINDOW_MS = 2000;

/** A removal that takes effect only after `leftMs`, in milliseconds, unless the entry is back by then. */
export interface HeldRemoval {
  readonly id: string;
  readonly revision: number;
  readonly leftMs: number;
}

/**
 * Applies removals from the list of backends. Entries of backends that live also lapse while the publishing
 * store is away, and come back soon after its return; a removal that is seen right then takes effect only if
 * the entry is not back by the end of a short grace time. A backend that said it leaves gets no grace.
 */
export class BackendLapses {
  readonly #fleet: FleetState;
  readonly #clock: Clock;
  readonly #graceMs: number;
  readonly #onHeld: (held: HeldRemoval) => void;
  #away = false;
  #returnedMs = -Infinity;

  /**
   * @param graceMs counted from the store's return; shorter than the time in which a removal must be obeyed
   * @param onHeld called for each removal that takes effect only after the grace time
   */
  constructor(fleet: FleetState, clock: Clock, graceMs: number, onHeld: (held: HeldRemoval) => void) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.#graceMs = graceMs;
    this.#onHeld = onHeld;
  }

  /** The store gives no answers. */
  sourceAway(): void {
    this.#away = true;
  }

  remove(revision: number, id: string): void {
    this.#noteAnswer();
    if (!this.#mayHaveLapsed(id)) this.#fleet.removeBackend(revision, id);
    else this.#removeLater(revision, id);
  }

  /** Takes over the whole list as of `revision`. */
  replace(revision: number, entries: readonly Revised<BackendDescription>[]): void {
    this.#noteAnswer();
    const listed = new Set(entries.map((entry) => entry.value.id));
    const lapsed = [...this.#fleet.allBackends()].filter(
      ({ value }) => !listed.has(value.id) && this.#mayHaveLapsed(value.id),
    );
    this.#fleet.replaceBackends(revision, [...entries, ...lapsed]);
    for (const { value } of lapsed) this.#removeLater(revision, value.id);
  }

  #noteAnswer(): void {
    if (!this.#away) return;
    this.#away = false;
    this.#returnedMs = this.#clock.now();
  }

  #mayHaveLapsed(id: string): boolean {
    if (this.#clock.now() - this.#returnedMs > RETURN_WINDOW_MS) return false;
    return this.#fleet.backend(id)?.state === 'ready';
  }

  /** An entry that was written again meanwhile has a higher revision and stays. */
  #removeLater(revision: number, id: string): void {
    const leftMs = this.#returnedMs + this.#graceMs - this.#clock.now();
    if (leftMs <= 0) {
      this.#fleet.removeBackend(revision, id);
      return;
    }
    this.#onHeld({ id, revision, leftMs });
    this.#clock.setTimer(leftMs, () => this.#fleet.removeBackend(revision, id));
  }
}
