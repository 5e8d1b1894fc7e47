import type { GrantedBackend } from './granted-backend.js';
import type { PoolRequest } from './slot-request.js';

/** Fraction by which a backend in another zone counts as slower than one in the zone of the requesting node. */
const OTHER_ZONE_SHARE = 0.1;

/**
 * Returns the backend with the lowest expected time for a request among those with a free slot, or if there is none, among
 * those that may queue it; undefined if no backend takes it now.
 */
export function chooseBackend(
  request: PoolRequest,
  usable: readonly GrantedBackend[],
  nowMs: number,
): GrantedBackend | undefined {
  const free = usable.filter((backend) => backend.hasFreeSlot(nowMs));
  const candidates = free.length > 0 ? free : usable.filter((backend) => backend.mayQueue(nowMs));
  let best: GrantedBackend | undefined;
  let bestMs = Infinity;
  for (const backend of candidates) {
    const expectedMs = expectedTimeMs(backend, request.zone, nowMs);
    if (expectedMs >= bestMs) continue;
    best = backend;
    bestMs = expectedMs;
  }
  return best;
}

/** The learnt service time of a backend, raised by the share of its slots in use, its recent failures and its distance. */
function expectedTimeMs(backend: GrantedBackend, zone: string | undefined, nowMs: number): number {
  const { slots, zone: ownZone } = backend.description;
  const load = (backend.running + backend.failures.load(nowMs)) / slots;
  const distance = zone === undefined || zone === ownZone ? 0 : OTHER_ZONE_SHARE;
  return backend.serviceTime.meanMs(nowMs) * (1 + load + distance);
}
