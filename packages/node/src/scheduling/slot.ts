import type { EngineReport, LoadedAdapter } from '@canvasridge/domain';

/**
 * Requests that may be running on an adapter without being in `inFlight`: generations started by an earlier
 * owner of the engine, and requests of this node whose outcome is unknown. The adapter must not be unloaded
 * until an engine report proves that they have ended.
 */
export interface UntrackedWork {
  /**
   * For engines that check fences: only a report whose snapshot has at least this fence is proof, because the
   * engine refuses requests with older fences from then on.
   */
  readonly minReportFence: number;
  /**
   * For engines that do not check fences: only a report whose snapshot was taken after this time is proof.
   */
  readonly snapshotAfterMs: number;
}

/** One adapter slot of an engine, as tracked by the node that owns the engine. */
export interface Slot {
  /** `ADAPTER@VERSION` */
  readonly key: string;
  readonly adapter: string;
  readonly version: string;
  state: 'loading' | 'ready' | 'unloading';
  /** Requests that this node has running on the adapter. */
  inFlight: number;
  lastUsedAtMs: number;
  untracked: UntrackedWork | undefined;
  /** No further requests are sent to the adapter, so that the slot becomes idle. */
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
    untracked: undefined,
    draining: false,
  };
}

/** Whether the adapter is loaded and known to run no requests. */
export function isIdle(slot: Slot): boolean {
  return slot.state === 'ready' && slot.inFlight === 0 && slot.untracked === undefined;
}

/** Whether `report`, requested at `requestedAtMs`, proves that the untracked work on the slot has ended. */
export function provesUntrackedWorkEnded(
  slot: Slot,
  report: EngineReport,
  requestedAtMs: number,
  checksFence: boolean,
): boolean {
  if (slot.untracked === undefined) return true;
  // Earliest possible time of the snapshot: its age is relative to some time after the report was requested.
  const snapshotAtMs = requestedAtMs - report.snapshotAgeMs;
  const conclusive = checksFence
    ? report.fence >= slot.untracked.minReportFence
    : snapshotAtMs > slot.untracked.snapshotAfterMs;
  if (!conclusive) return false;
  const reported = report.adapters.find((loaded) => `${loaded.adapter}@${loaded.version}` === slot.key);
  return (reported?.running ?? 0) === 0;
}
