import type { SlotRequest } from '../src/index.js';
import { MODEL } from './simulated-engines.js';

let nextId = 0;

/** A request with an id of its own, for an adapter or, where none is given, for the base model. */
export function newRequest(adapter: string | undefined, changes: Partial<SlotRequest> = {}): SlotRequest {
  nextId += 1;
  return {
    id: `r${nextId}`,
    traceId: `t${nextId}`,
    model: MODEL,
    adapter,
    priority: 1,
    tenant: undefined,
    objectiveMs: 1000,
    ageMs: 0,
    timeoutMs: 5000,
    startWithinMs: changes.timeoutMs ?? 5000,
    excluded: [],
    promptTokens: 1000,
    promptKey: undefined,
    ...changes,
  };
}
