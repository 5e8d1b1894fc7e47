import type { HttpRoute, KeyProblem, RouteTable, Tenant } from '@canvasridge/serving';

/** Whom a request is attributed to. */
export type CallerIdentity =
  /**
   * The configuration has no tenants: everybody may send requests, and their headers are forwarded
   * unchanged.
   */
  | { readonly kind: 'open' }
  /** A request without a key on a public route. */
  | { readonly kind: 'public' }
  | { readonly kind: 'tenant'; readonly tenant: Tenant };

/**
 * Why a request is refused. `stale`: this node's configuration is too old to tell whether the key is still
 * valid; `no-key` and `unknown-key`: the configuration in force grants no access; the others: the key does
 * not identify one valid tenant.
 */
export type IdentityProblem = 'stale' | 'no-key' | KeyProblem;

export type Identification =
  | { readonly kind: 'identified'; readonly identity: CallerIdentity }
  | { readonly kind: 'refused'; readonly problem: IdentityProblem };

/**
 * How long ago the configuration in force was known to be the newest, and how long it may be relied upon
 * after that.
 */
export interface ConfigurationLease {
  readonly ageMs: number;
  /** Infinity if a node may accept a revoked key until it learns of the revocation. */
  readonly leaseMs: number;
}

const OPEN_IDENTIFICATION: Identification = { kind: 'identified', identity: { kind: 'open' } };
const PUBLIC_IDENTIFICATION: Identification = { kind: 'identified', identity: { kind: 'public' } };

/**
 * Identifies the caller of a request. A key is looked up only while the configuration is known to be recent:
 * an older one might accept a key that was revoked since, or reject one that was added since.
 */
export function identifyCaller(
  routes: RouteTable,
  route: HttpRoute,
  key: string | undefined,
  { ageMs, leaseMs }: ConfigurationLease,
): Identification {
  const { tenants } = routes;
  if (tenants === undefined) return OPEN_IDENTIFICATION;
  if (key === undefined && route.isPublic) return PUBLIC_IDENTIFICATION;
  if (ageMs > leaseMs) return { kind: 'refused', problem: 'stale' };
  if (key === undefined) return { kind: 'refused', problem: 'no-key' };
  const found = tenants.lookUp(key);
  if (found.kind === 'problem') return { kind: 'refused', problem: found.problem };
  return { kind: 'identified', identity: { kind: 'tenant', tenant: found.tenant } };
}
