/** What a tenant may ask for over all nodes together. */
export interface TenantQuota {
  /** What is counted: whole requests, or the tokens of their prompts and answers. */
  readonly unit: 'requests' | 'tokens';
  /** Units a second that are allowed without end. */
  readonly ratePerSecond: number;
  /** Units that are allowed at once beside the rate. */
  readonly burst: number;
  /** What a request counts for that names no tokens, where tokens are counted. */
  readonly plainTokens: number;
}

/** A group of callers with keys of its own. */
export interface Tenant {
  readonly name: string;
  /** Secrets that name the tenant in requests; never logged. */
  readonly keys: readonly string[];
  /** Takes the place of the route's priority; undefined to leave that as it is. */
  readonly priority: number | undefined;
  /** Undefined for no limit. */
  readonly quota: TenantQuota | undefined;
  /** What of its entry could not be understood. It may restrict, so nothing is run for such a tenant. */
  readonly problem: string | undefined;
}

/** Why a key gives no right to run a request. */
export type KeyProblem =
  /** No tenant holds it. */
  | 'unknown-key'
  /** Several tenants hold it, so that it names none. */
  | 'ambiguous-key'
  /** Its tenant's entry could not be understood. */
  | 'unreadable-tenant';

export type KeyLookup =
  | { readonly kind: 'tenant'; readonly tenant: Tenant }
  | { readonly kind: 'problem'; readonly problem: KeyProblem };

/** The tenants of one configuration, by their keys. */
export class TenantTable {
  readonly #byKey = new Map<string, Tenant | 'ambiguous'>();
  readonly #byName = new Map<string, Tenant>();

  constructor(tenants: readonly Tenant[]) {
    for (const tenant of tenants) {
      this.#byName.set(tenant.name, tenant);
      for (const key of new Set(tenant.keys))
        this.#byKey.set(key, this.#byKey.has(key) ? 'ambiguous' : tenant);
    }
  }

  get size(): number {
    return this.#byName.size;
  }

  named(name: string): Tenant | undefined {
    return this.#byName.get(name);
  }

  all(): Iterable<Tenant> {
    return this.#byName.values();
  }

  lookUp(key: string): KeyLookup {
    const found = this.#byKey.get(key);
    if (found === undefined) return { kind: 'problem', problem: 'unknown-key' };
    if (found === 'ambiguous') return { kind: 'problem', problem: 'ambiguous-key' };
    if (found.problem !== undefined) return { kind: 'problem', problem: 'unreadable-tenant' };
    return { kind: 'tenant', tenant: found };
  }
}
