import { socketAddress } from '@canvasridge/addresses';
import type { VirtualClock } from '@canvasridge/clock';
import { VersionGrace, type BackendDescription, type FleetState } from '@canvasridge/serving';
import type { SlotDecision, SlotRequest, UseOutcome } from '@canvasridge/slots';
import { AdapterVersionCheck } from '../src/backends/adapter-version-check.js';
import { BackendAvailability } from '../src/backends/backend-availability.js';
import type { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import type { PickContext } from '../src/backends/picker.js';
import { SlotPicker, type SlotSource } from '../src/backends/slot-picker.js';
import { noRateLimits } from './no-rate-limits.js';

/** Time after a publication from which on no request may begin on an older version. */
export const VERSION_BOUND_MS = 5000;

export function engine(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 'llm', address: socketAddress('10.0.0.1:1'), zone: 'a', state, slots: 8, models: [] };
}

/**
 * A leader that does not know yet that an engine is leaving: it grants the first engine that is not
 * excluded.
 */
export class OutdatedLeader implements SlotSource {
  readonly released: { requestId: string; outcome: UseOutcome }[] = [];
  readonly asked: SlotRequest[] = [];
  /** Called while a request waits for its slot. */
  whileWaiting: () => Promise<void> = () => Promise.resolve();

  constructor(
    readonly engines: readonly string[],
    readonly entryRevision: number | undefined,
    /** Rate limit within which engines are granted: see {@link SlotDecision}. */
    readonly ratePerSecond?: number | null,
    readonly entryEra?: number,
  ) {}

  async acquire(_pool: string, request: SlotRequest): Promise<SlotDecision> {
    this.asked.push(request);
    await this.whileWaiting();
    const backendId = this.engines.find((id) => !request.excluded.includes(id)) ?? 'none';
    const { entryRevision, entryEra } = this;
    const position = {
      ...(entryRevision === undefined ? {} : { entryRevision }),
      ...(entryEra === undefined ? {} : { entryEra }),
    };
    const entryPosition = backendId === 'leaving' ? position : {};
    const rate = this.ratePerSecond === undefined ? {} : { ratePerSecond: this.ratePerSecond };
    return {
      kind: 'granted',
      requestId: request.id,
      backendId,
      address: socketAddress('10.0.0.1:1'),
      ...entryPosition,
      ...rate,
    };
  }

  startedWithoutGrant(): void {
    return;
  }

  started(): void {
    return;
  }

  release(_pool: string, requestId: string, outcome: UseOutcome): void {
    this.released.push({ requestId, outcome });
  }
}

export const CONTEXT: PickContext = {
  id: 'r1',
  traceId: 't1',
  route: {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: 'stream',
    services: [],
    timeoutMs: 5000,
    patienceMs: 3000,
    objectiveMs: 800,
    priority: 0,
    attempts: 1,
    resumable: false,
    isPublic: false,
  },
  service: { name: 'llm', maxConnections: 10, engine: undefined },
  tenant: undefined,
  priority: 0,
  generation: { model: 'm', adapter: 'x', promptTokens: 10, promptKey: undefined },
  ageMs: 0,
  timeoutMs: 5000,
  startWithinMs: 3000,
  excluded: [],
};

export function newPicker(
  fleet: FleetState,
  availability: BackendAvailability,
  leader: SlotSource,
  clock: VirtualClock,
): SlotPicker {
  const grace = new VersionGrace({ clock, fleet, boundMs: VERSION_BOUND_MS });
  return new SlotPicker(fleet, availability, new AdapterVersionCheck(fleet, grace), leader, clock, 'a');
}

export function availabilityOf(
  fleet: FleetState,
  clock: VirtualClock,
  backoffs: BackendBackoffs,
  rateLimits = noRateLimits(clock),
): BackendAvailability {
  return new BackendAvailability({ fleet, backoffs, rateLimits, clock, hasOtherServingNodes: () => true });
}
