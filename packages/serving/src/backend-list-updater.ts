import type { Clock } from '@canvasridge/clock';
import type { BackendDescription } from './backend.js';
import type { FleetState } from './fleet-state.js';
import type { Revised } from './published.js';

/**
 * While the publishing store is unavailable, the entries of running backends expire too. By the platform's
 * protocol they are written again within this time after the store's return; a backend whose entry is
 * missing then is gone.
 */
export const STORE_RETURN_WINDOW_MS = 2000;
/**
 * An entry expires three heartbeats after it was last written. As that may have been almost one heartbeat
 * before the store became unavailable, an outage of two heartbeats can be enough.
 */
const HEARTBEATS_TO_EXPIRY = 2;
/** An entry restored from a backup expires after this many heartbeats if its backend does not run. */
const RESTORED_ENTRY_HEARTBEATS = 3;

/**
 * Shortest outage of the store in which entries of running backends can expire, in milliseconds.
 * @param heartbeatMs interval between two heartbeats of a backend
 */
export function shortestExpiryMs(heartbeatMs: number): number {
  return HEARTBEATS_TO_EXPIRY * heartbeatMs;
}

/** A removal that is applied after `leftMs` milliseconds, unless the entry is written again by then. */
export interface DeferredRemoval {
  readonly id: string;
  readonly revision: number;
  readonly leftMs: number;
}

export interface BackendListUpdaterOptions {
  readonly fleet: FleetState;
  readonly clock: Clock;
  /** Interval between two heartbeats of a backend, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time since the list was last known to be complete, in milliseconds; infinite before the first read. */
  readonly listAgeMs: () => number;
  /** Called for each removal that is deferred. */
  readonly onRemovalDeferred: (removal: DeferredRemoval) => void;
  /**
   * Called with the backends that had left before the store was restored from a backup but turned out to be
   * alive.
   */
  readonly onListedAgain: (ids: readonly string[]) => void;
}

/**
 * Applies removals of backends that were read from the publishing store. Right after the store was
 * unavailable, a removal is deferred, and applied only if the entry is not written again in time: the entry
 * may just have expired, or may be missing from the backup from which the store was restored. The removal of
 * a backend that had announced its shutdown is applied at once. So is every removal if the store was
 * unavailable for less time than an entry takes to expire and was not restored from a backup.
 */
export class BackendListUpdater {
  readonly #options: BackendListUpdaterOptions;
  /** When the store last answered after entries of running backends may have expired. */
  #storeBackMs = -Infinity;
  /**
   * Until this time, a first read may find entries as restored from the backup; later reads find only running
   * backends.
   */
  #restoredUntilMs = -Infinity;

  constructor(options: BackendListUpdaterOptions) {
    this.#options = options;
    options.fleet.onNewEra(({ to }) => this.#beginEra(to));
  }

  /** To be called for each answer of the store before it is applied, even if it contains no change. */
  beginUpdate(): void {
    const { clock, heartbeatMs, listAgeMs } = this.#options;
    const unavailableMs = listAgeMs();
    const mayHaveExpired = Number.isFinite(unavailableMs) && unavailableMs >= shortestExpiryMs(heartbeatMs);
    if (mayHaveExpired || clock.now() < this.#restoredUntilMs) this.#storeBackMs = clock.now();
    this.#restoredUntilMs = -Infinity;
  }

  #beginEra(era: number): void {
    const { clock, fleet, heartbeatMs, onListedAgain } = this.#options;
    const restoreMs = RESTORED_ENTRY_HEARTBEATS * heartbeatMs + STORE_RETURN_WINDOW_MS;
    this.#restoredUntilMs = clock.now() + restoreMs;
    clock.setTimer(restoreMs, () => {
      if (fleet.era !== era) return;
      const ids = fleet.endRestore();
      if (ids.length > 0) onListedAgain(ids);
    });
  }

  /** Applies or defers the removal of a backend as of `revision`. */
  remove(revision: number, id: string): void {
    if (!this.#mayHaveExpired(id)) this.#options.fleet.removeBackend(revision, id);
    else this.#deferRemoval(revision, id);
  }

  /** Applies the whole list as of `revision`. */
  replace(revision: number, entries: readonly Revised<BackendDescription>[]): void {
    const { fleet } = this.#options;
    const listed = new Set(entries.map((entry) => entry.value.id));
    const expired = [...fleet.allBackends()].filter(
      ({ value }) => !listed.has(value.id) && this.#mayHaveExpired(value.id),
    );
    fleet.replaceBackends(revision, [...entries, ...expired]);
    for (const { value } of expired) this.#deferRemoval(revision, value.id);
  }

  #mayHaveExpired(id: string): boolean {
    const { clock, fleet } = this.#options;
    if (clock.now() - this.#storeBackMs > STORE_RETURN_WINDOW_MS) return false;
    return fleet.backend(id)?.state === 'ready';
  }

  /** Defers a removal. An entry that is written again meanwhile has a higher revision and is kept. */
  #deferRemoval(revision: number, id: string): void {
    const { clock, fleet, onRemovalDeferred } = this.#options;
    const leftMs = this.#storeBackMs + STORE_RETURN_WINDOW_MS - clock.now();
    if (leftMs <= 0) {
      fleet.removeBackend(revision, id);
      return;
    }
    onRemovalDeferred({ id, revision, leftMs });
    const { era } = fleet;
    clock.setTimer(leftMs, () => {
      // The list of a newer era is read as a whole, which settles whether the backend is in it.
      if (fleet.era === era) fleet.removeBackend(revision, id);
    });
  }
}
