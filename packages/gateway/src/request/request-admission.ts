import type { QuotaDecision, QuotaGate } from '@canvasridge/admission';
import type { FleetState, HttpRoute } from '@canvasridge/serving';
import {
  identifyCaller,
  type CallerIdentity,
  type ConfigurationLease,
  type Identification,
  type IdentityProblem,
} from './caller-identity.js';
import type { RequestFacts } from './dialect.js';

/** What decides for whom a request runs and whether it may. */
export interface AdmissionContext {
  readonly fleet: FleetState;
  /** How far the configuration in force may be relied upon for rights that can be withdrawn. */
  readonly configurationLease: () => ConfigurationLease;
  /** What tenants may use over all nodes. */
  readonly quotas: QuotaGate;
}

/** For whom one request runs, and what it was counted of a quota. */
export class RequestAdmission {
  readonly #context: AdmissionContext;
  readonly #facts: RequestFacts;
  #identity: CallerIdentity | undefined;
  #charge: { readonly tenant: string; readonly units: number } | undefined;

  constructor(context: AdmissionContext, facts: RequestFacts) {
    this.#context = context;
    this.#facts = facts;
  }

  /** As last found by {@link identify}; a request that was never identified runs for nobody. */
  get identity(): CallerIdentity {
    return this.#identity ?? NOBODY;
  }

  /** The tenant's name; undefined for requests that run for nobody in particular. */
  get tenant(): string | undefined {
    return nameOf(this.identity);
  }

  /** 0 is the most urgent. A tenant's own priority takes the place of its route's. */
  priority(route: HttpRoute): number {
    const tenantPriority = this.identity.kind === 'tenant' ? this.identity.tenant.priority : undefined;
    return tenantPriority ?? route.priority;
  }

  /** Finds out for whom the request runs; gives the problem if that can't be told, or gives no right. */
  identify(route: HttpRoute): IdentityProblem | undefined {
    const found = this.#lookUp(route);
    if (found.kind === 'refused') return found.problem;
    this.#identity = found.identity;
    return undefined;
  }

  /** To be asked right before the request is written: it waited for an engine and a connection since it was identified. */
  isStillIdentified(route: HttpRoute): boolean {
    const found = this.#lookUp(route);
    return found.kind === 'identified' && nameOf(found.identity) === this.tenant;
  }

  /** Counts the request of its tenant's quota, if it has one. */
  async charge(): Promise<QuotaDecision> {
    if (this.identity.kind !== 'tenant') return ADMITTED;
    const { name, quota } = this.identity.tenant;
    if (quota === undefined) return ADMITTED;
    const units = quota.unit === 'tokens' ? (this.#facts.tokens ?? quota.plainTokens) : 1;
    const decision = await this.#context.quotas.admit(name, units);
    if (decision.kind === 'admitted') this.#charge = { tenant: name, units };
    return decision;
  }

  /** The request did not run, so it costs nothing. */
  refund(): void {
    if (this.#charge === undefined) return;
    this.#context.quotas.giveBack(this.#charge.tenant, this.#charge.units);
    this.#charge = undefined;
  }

  #lookUp(route: HttpRoute): Identification {
    const { fleet, configurationLease } = this.#context;
    if (fleet.routes === undefined) return { kind: 'refused', problem: 'stale' };
    return identifyCaller(fleet.routes, route, this.#facts.key, configurationLease());
  }
}

const NOBODY: CallerIdentity = { kind: 'public' };
const ADMITTED: QuotaDecision = { kind: 'admitted' };

function nameOf(identity: CallerIdentity): string | undefined {
  return identity.kind === 'tenant' ? identity.tenant.name : undefined;
}
