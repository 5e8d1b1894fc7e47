/** Quota of a tenant over all nodes together. */
export interface TenantQuota {
  /** What is counted: requests, or the tokens of their prompts and answers. */
  readonly unit: 'requests' | 'tokens';
  /** Sustained rate, in units per second. */
  readonly ratePerSecond: number;
  /** Units that may be used at once on top of the rate. */
  readonly burst: number;
  /** If tokens are counted, the number assumed for a request that does not state any. */
  readonly plainTokens: number;
}

/** A group of callers that share API keys, a priority and a quota. */
export interface Tenant {
  readonly name: string;
  /** Secret keys that identify the tenant in requests; never logged. */
  readonly keys: readonly string[];
  /** Overrides the priority of the route; undefined to keep the route's. */
  readonly priority: number | undefined;
  /** Undefined for no limit. */
  readonly quota: TenantQuota | undefined;
  /**
   * The part of its entry that could not be parsed, if any. It may be a restriction, so the tenant's requests
   * are refused.
   */
  readonly problem: string | undefined;
}

/** Why a request with a key is refused. */
export type KeyProblem =
  /** No tenant has it. */
  | 'unknown-key'
  /** Several tenants have it, so it does not identify one. */
  | 'ambiguous-key'
  /** The entry of its tenant could not be parsed. */
  | 'unreadable-tenant';

export type KeyLookup =
  | { readonly kind: 'tenant'; readonly tenant: Tenant }
  | { readonly kind: 'problem'; readonly problem: KeyProblem };

/** The tenants of one configuration, indexed by key and by name. */
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
