import type { GrantedBackend } from './granted-backend.js';

/** Mean time between two slots of these backends becoming free while all are in use, in ms; Infinity without any slot. */
export function slotGapMs(usable: Iterable<GrantedBackend>, nowMs: number): number {
  let slotsPerMs = 0;
  for (const { description, serviceTime } of usable)
    slotsPerMs += description.slots / serviceTime.meanMs(nowMs);
  return 1 / slotsPerMs;
}

/** Mean service time of these backends, each weighted by how many requests it serves, in ms. */
export function meanServiceMs(usable: Iterable<GrantedBackend>, gapMs: number): number {
  let slots = 0;
  for (const { description } of usable) slots += description.slots;
  return slots * gapMs;
}
