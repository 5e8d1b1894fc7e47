import type { EngineReport, LoadedAdapter } from '@canvasridge/domain';

/**
 * Work on an adapter that this node cannot count: generations of an earlier owner, or requests of its
 * own whose outcome is unknown. Until a report proves them over, the adapter must not be unloaded.
 */
export interface ForeignWork {
  /** A report counts only if the engine had at least this fence at its snapshot: older requests are refused from then on. */
  readonly provedAtFence: number;
  /** For engines that check no fences: a report counts only if its snapshot is later than this. */
  readonly provedAfterMs: number;
}

/** One adapter slot of an owned engine, as its owner knows it. */
export interface Slot {
  readonly key: string;
  readonly adapter: string;
  readonly version: string;
  state: 'loading' | 'ready' | 'unloading';
  /** Requests of this node running on the adapter. */
  inFlight: number;
  lastUsedAtMs: number;
  foreign: ForeignWork | undefined;
  /** No further request is sent, so that the slot becomes idle. */
  draining: boolean;
}

export function newSlot(
  adapter: Pick<LoadedAdapter, 'adapter' | 'version'>,
  state: Slot['state'],
  nowMs: number,
): Slot {
  return {
    key: `${adapter.adapter}@${adapter.version}`,
    adapter: adapter.adapter,
    version: adapter.version,
    state,
    inFlight: 0,
    lastUsedAtMs: nowMs,
    foreign: undefined,
    draining: false,
  };
}

/** Whether nothing runs on the adapter, as far as can be proved. */
export function isIdle(slot: Slot): boolean {
  return slot.state === 'ready' && slot.inFlight === 0 && slot.foreign === undefined;
}

/** Whether `report`, asked for at `askedAtMs`, proves that the foreign work on the slot is over. */
export function provesIdle(
  slot: Slot,
  report: EngineReport,
  askedAtMs: number,
  checksFence: boolean,
): boolean {
  if (slot.foreign === undefined) return true;
  // The snapshot was taken at the earliest `snapshotAgeMs` before the question was sent.
  const snapshotAtMs = askedAtMs - report.snapshotAgeMs;
  const conclusive = checksFence
    ? report.fence >= slot.foreign.provedAtFence
    : snapshotAtMs > slot.foreign.provedAfterMs;
  if (!conclusive) return false;
  const shown = report.adapters.find((loaded) => `${loaded.adapter}@${loaded.version}` === slot.key);
  return (shown?.running ?? 0) === 0;
}
