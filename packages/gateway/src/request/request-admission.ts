import type { QuotaDecision, QuotaGate } from '@canvasridge/admission';
import type { Clock } from '@canvasridge/clock';
import type { FleetState, HttpRoute } from '@canvasridge/serving';
import {
  identifyCaller,
  type CallerIdentity,
  type ConfigurationLease,
  type Identification,
  type IdentityProblem,
} from './caller-identity.js';
import type { RequestFacts } from './dialect.js';

/** What is needed to authenticate a request and to charge its tenant's quota. */
export interface AdmissionContext {
  readonly clock: Clock;
  readonly fleet: FleetState;
  /** How long the configuration in force may be relied upon for access rights that can be revoked. */
  readonly configurationLease: () => ConfigurationLease;
  /** Quotas of tenants, which count across all nodes. */
  readonly quotas: QuotaGate;
}

/** Longest wait for the confirmation of a configuration; after it, the client may try another node. */
const MAX_STALE_WAIT_MS = 1000;
/** How often it is checked meanwhile whether the configuration was confirmed. */
const STALE_CHECK_MS = 50;

/** What was charged for a run that is to take over from an attempt which may still turn out not to have run. */
export interface TakeoverCharge {
  /** Makes it the charge of the next run, unless what was charged for the attempt before covers that. */
  use(): void;
  /** Gives it back. */
  refund(): void;
}

interface Charge {
  readonly tenant: string;
  readonly units: number;
}

/** Identifies the caller of a request and charges its tenant's quota. */
export class RequestAdmission {
  readonly #context: AdmissionContext;
  readonly #facts: RequestFacts;
  #identity: CallerIdentity | undefined;
  /** What was charged for the next run, or for the current one; undefined if that was nothing. */
  #charge: Charge | undefined;

  constructor(context: AdmissionContext, facts: RequestFacts) {
    this.#context = context;
    this.#facts = facts;
  }

  /** The caller as last found by {@link identify}; `public` if the request was never identified. */
  get identity(): CallerIdentity {
    return this.#identity ?? PUBLIC_CALLER;
  }

  /** The tenant's name; undefined for requests without a tenant. */
  get tenant(): string | undefined {
    return tenantNameOf(this.identity);
  }

  /** 0 is the most urgent. A tenant's priority overrides that of the route. */
  priority(route: HttpRoute): number {
    const tenantPriority = this.identity.kind === 'tenant' ? this.identity.tenant.priority : undefined;
    return tenantPriority ?? route.priority;
  }

  /** Identifies the caller; returns the problem if that is impossible or the caller has no access. */
  identify(route: HttpRoute): IdentityProblem | undefined {
    const found = this.#lookUp(route);
    if (found.kind === 'refused') return found.problem;
    this.#identity = found.identity;
    return undefined;
  }

  /**
   * Waits for a short time until the configuration in force is known to be recent enough to identify the caller. For
   * requests that a backend may have run already: no other node could take them over.
   */
  async waitWhileStale(route: HttpRoute, limitMs: number, cancelled: AbortSignal): Promise<void> {
    const { clock } = this.#context;
    const untilMs = clock.now() + Math.min(limitMs, MAX_STALE_WAIT_MS);
    const isStale = (): boolean => {
      const found = this.#lookUp(route);
      return found.kind === 'refused' && found.problem === 'stale';
    };
    while (isStale() && clock.now() < untilMs && !cancelled.aborted)
      await clock.sleep(STALE_CHECK_MS, cancelled);
  }

  /**
   * Whether the caller is still the same and still has access. Checked right before the request is written,
   * as it waited for an engine and a connection since it was identified.
   */
  isStillIdentified(route: HttpRoute): boolean {
    const found = this.#lookUp(route);
    return found.kind === 'identified' && tenantNameOf(found.identity) === this.tenant;
  }

  /**
   * Charges a run of the request to its tenant's quota, if it has one. What was charged for a run that did not happen
   * covers the next one; each further run is charged again, as backends spend the same on it.
   */
  async charge(): Promise<QuotaDecision> {
    if (this.#charge !== undefined) return ADMITTED;
    const due = this.#due();
    const decision = await this.#admit(due);
    if (decision.kind === 'admitted') this.#charge = due;
    return decision;
  }

  /** Charges another run while an attempt goes on; resolves to undefined if the quota is used up. */
  async chargeTakeover(): Promise<TakeoverCharge | undefined> {
    const due = this.#due();
    const decision = await this.#admit(due);
    if (decision.kind === 'refused') return undefined;
    return {
      use: () => {
        if (this.#charge === undefined) this.#charge = due;
        else this.#giveBack(due);
      },
      refund: () => this.#giveBack(due),
    };
  }

  /** What a run costs; undefined if nothing is charged for it. */
  #due(): Charge | undefined {
    if (this.identity.kind !== 'tenant') return undefined;
    const { name, quota } = this.identity.tenant;
    if (quota === undefined) return undefined;
    const units = quota.unit === 'tokens' ? (this.#facts.tokens ?? quota.plainTokens) : 1;
    return { tenant: name, units };
  }

  #admit(due: Charge | undefined): Promise<QuotaDecision> {
    return due === undefined ? Promise.resolve(ADMITTED) : this.#context.quotas.admit(due.tenant, due.units);
  }

  #giveBack(charge: Charge | undefined): void {
    if (charge !== undefined) this.#context.quotas.giveBack(charge.tenant, charge.units);
  }

  /** Call it when a backend may have run the request: the charge is spent. */
  recordRun(): void {
    this.#charge = undefined;
  }

  /** Gives units back that were charged for a run that did not happen. */
  refund(): void {
    this.#giveBack(this.#charge);
    this.#charge = undefined;
  }

  #lookUp(route: HttpRoute): Identification {
    const { fleet, configurationLease } = this.#context;
    if (fleet.routes === undefined) return { kind: 'refused', problem: 'stale' };
    return identifyCaller(fleet.routes, route, this.#facts.key, configurationLease());
  }
}

const PUBLIC_CALLER: CallerIdentity = { kind: 'public' };
const ADMITTED: QuotaDecision = { kind: 'admitted' };

function tenantNameOf(identity: CallerIdentity): string | undefined {
  return identity.kind === 'tenant' ? identity.tenant.name : undefined;
}
