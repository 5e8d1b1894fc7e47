import type { Clock } from '@canvasridge/clock';
import type { BackendDescription } from './backend.js';
import type { FleetState } from './fleet-state.js';
import type { Revised } from './published.js';

/**
 * Entries of backends that live also lapse while the publishing store is away. By the platform's pages they are back
 * within this time after its return; one that is missing then is gone.
 */
export const RETURN_WINDOW_MS = 2000;
/** An entry lapses after three heartbeats of silence, the first of which may have begun just before the store went. */
const HEARTBEATS_TO_LAPSE = 2;
/** After so many heartbeats without its backend an entry of a copy has lapsed again. */
const HEARTBEATS_IN_COPY = 3;

/** A removal that takes effect only after `leftMs`, in milliseconds, unless the entry is back by then. */
export interface HeldRemoval {
  readonly id: string;
  readonly revision: number;
  readonly leftMs: number;
}

export interface BackendLapsesOptions {
  readonly fleet: FleetState;
  readonly clock: Clock;
  /** Time between two heartbeats of a backend, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time since the list was last known to be complete, in milliseconds; infinite before it was read at all. */
  readonly listAgeMs: () => number;
  /** Called for each removal that takes effect only after a while. */
  readonly onHeld: (held: HeldRemoval) => void;
  /** Called with the backends that had left before the store came back from a copy and turned out to live. */
  readonly onListedAgain: (ids: readonly string[]) => void;
}

/**
 * Applies removals from the list of backends. One that is seen right after the publishing store was away takes effect
 * only if the entry is not back in time, as it may only have lapsed, or may not be part of the copy from which the store came
 * back. A backend that said it leaves gets no such time, nor does any if the store was away for less than an entry needs to
 * lapse and came back as it was.
 */
export class BackendLapses {
  readonly #options: BackendLapsesOptions;
  #returnedMs = -Infinity;
  /** Until then a first reading finds the copy from which the store has come back; later ones find what lives. */
  #copyUntilMs = -Infinity;

  constructor(options: BackendLapsesOptions) {
    this.#options = options;
    options.fleet.onNewEra(({ to }) => this.#eraBegan(to));
  }

  /** The store has answered: to be called before what it tells is applied, also where it tells no change. */
  beginUpdate(): void {
    const { clock, heartbeatMs, listAgeMs } = this.#options;
    const awayMs = listAgeMs();
    const mayHaveLapsed = Number.isFinite(awayMs) && awayMs >= HEARTBEATS_TO_LAPSE * heartbeatMs;
    if (mayHaveLapsed || clock.now() < this.#copyUntilMs) this.#returnedMs = clock.now();
    this.#copyUntilMs = -Infinity;
  }

  #eraBegan(era: number): void {
    const { clock, fleet, heartbeatMs, onListedAgain } = this.#options;
    const returnMs = HEARTBEATS_IN_COPY * heartbeatMs + RETURN_WINDOW_MS;
    this.#copyUntilMs = clock.now() + returnMs;
    clock.setTimer(returnMs, () => {
      if (fleet.era !== era) return;
      const ids = fleet.endReturn();
      if (ids.length > 0) onListedAgain(ids);
    });
  }

  remove(revision: number, id: string): void {
    if (!this.#mayHaveLapsed(id)) this.#options.fleet.removeBackend(revision, id);
    else this.#removeLater(revision, id);
  }

  /** Takes over the whole list as of `revision`. */
  replace(revision: number, entries: readonly Revised<BackendDescription>[]): void {
    const { fleet } = this.#options;
    const listed = new Set(entries.map((entry) => entry.value.id));
    const lapsed = [...fleet.allBackends()].filter(
      ({ value }) => !listed.has(value.id) && this.#mayHaveLapsed(value.id),
    );
    fleet.replaceBackends(revision, [...entries, ...lapsed]);
    for (const { value } of lapsed) this.#removeLater(revision, value.id);
  }

  #mayHaveLapsed(id: string): boolean {
    const { clock, fleet } = this.#options;
    if (clock.now() - this.#returnedMs > RETURN_WINDOW_MS) return false;
    return fleet.backend(id)?.state === 'ready';
  }

  /** An entry that was written again meanwhile has a higher revision and stays. */
  #removeLater(revision: number, id: string): void {
    const { clock, fleet, onHeld } = this.#options;
    const leftMs = this.#returnedMs + RETURN_WINDOW_MS - clock.now();
    if (leftMs <= 0) {
      fleet.removeBackend(revision, id);
      return;
    }
    onHeld({ id, revision, leftMs });
    const { era } = fleet;
    clock.setTimer(leftMs, () => {
      // The list of a newer era tells of it anew.
      if (fleet.era === era) fleet.removeBackend(revision, id);
    });
  }
}
