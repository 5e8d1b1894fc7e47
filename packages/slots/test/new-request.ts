import type { SlotRequest } from '../src/index.js';
import { MODEL } from './simulated-engines.js';

let nextId = 0;

/** Creates a request with a unique id, for an adapter or, if undefined, for the base model. */
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
