import type { GrantedBackend } from './granted-backend.js';
import type { PoolRequest } from './slot-request.js';

/** Fraction by which a backend in another zone counts as slower than one in the zone of the requesting node. */
const OTHER_ZONE_SHARE = 0.1;

/** Returns the backend with a free slot and the lowest expected time for a request; undefined if none has a free slot. */
export function chooseBackend(
  request: PoolRequest,
  usable: Iterable<GrantedBackend>,
  nowMs: number,
): GrantedBackend | undefined {
  let best: GrantedBackend | undefined;
  let bestMs = Infinity;
  for (const backend of usable) {
    if (!backend.hasFreeSlot(nowMs)) continue;
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
