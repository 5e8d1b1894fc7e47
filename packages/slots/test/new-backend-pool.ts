import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import type { BackendDescription } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import { BackendPool, type DisabledMechanisms, type PoolRequest, type SlotDecision } from '../src/index.js';

export const SERVICE = 'ledger';

export function backend(id: string, slots = 2, zone = 'a'): BackendDescription {
  return {
    id,
    service: SERVICE,
    address: socketAddress('10.0.0.1:1'),
    zone,
    state: 'ready',
    slots,
    models: [],
  };
}

let nextId = 0;

export function plainRequest(changes: Partial<PoolRequest> = {}): PoolRequest {
  nextId += 1;
  return {
    id: `p${nextId}`,
    traceId: `t${nextId}`,
    priority: 0,
    tenant: undefined,
    objectiveMs: 400,
    ageMs: 0,
    timeoutMs: 2000,
    startWithinMs: 4000,
    excluded: [],
    ...changes,
  };
}

/** A pool with the decisions that it made, by request. */
export class PoolUnderTest {
  readonly clock = new VirtualClock();
  readonly pool: BackendPool;
  readonly decisions = new Map<string, SlotDecision>();
  readonly leaving = new Set<string>();

  /** @param rejectionLimit requests that a backend may turn away in a second; undefined for any number */
  constructor(
    backends: readonly BackendDescription[],
    rejectionLimit?: number,
    disabled: DisabledMechanisms = new Set(),
  ) {
    this.pool = new BackendPool({
      service: SERVICE,
      clock: this.clock,
      telemetry: new Telemetry({ processName: 'test', clock: this.clock }),
      disabled,
      isLeaving: (id) => this.leaving.has(id),
      tenantWeight: () => 1,
      rejectionLimit: () => rejectionLimit,
    });
    this.pool.setBackends(backends);
    this.pool.startLeading();
  }

  /** Requests a slot; returns the id of the request. */
  ask(changes: Partial<PoolRequest> = {}): string {
    const request = plainRequest(changes);
    this.pool.acquire(request, (decision) => this.decisions.set(request.id, decision));
    return request.id;
  }

  /** Requests slots that are held to the end. */
  fill(count: number): void {
    for (let asked = 0; asked < count; asked += 1) this.ask({ timeoutMs: 10_000, startWithinMs: 10_000 });
  }

  /** The backend granted to a request; undefined if it waits or was refused. */
  grantedTo(id: string): string | undefined {
    const decision = this.decisions.get(id);
    return decision?.kind === 'granted' ? decision.backendId : undefined;
  }

  /** Serves requests one after the other on a backend, each for this long. */
  async serve(count: number, onlyOn: string, others: readonly string[], serviceMs: number): Promise<void> {
    for (let served = 0; served < count; served += 1) {
      const id = this.ask({ excluded: others });
      if (this.grantedTo(id) !== onlyOn) throw new Error(`request ${id} was not granted ${onlyOn}`);
      await this.clock.runUntil(this.clock.now() + serviceMs);
      this.pool.release(id, 'served');
    }
  }
}
