import type { HttpRoute, KeyProblem, RouteTable, Tenant } from '@canvasridge/serving';

/** For whom a request runs. */
export type CallerIdentity =
  /** The configuration names no tenants: requests run for anybody, and their headers pass on as they came. */
  | { readonly kind: 'open' }
  /** A request without a key on a route that asks for none. */
  | { readonly kind: 'public' }
  | { readonly kind: 'tenant'; readonly tenant: Tenant };

/**
 * Why a request is not run. `stale`: this node has not known for too long whether the key still holds;
 * `no-key` and `unknown-key`: the configuration in force gives no right; the others: it can't be told who asks.
 */
export type IdentityProblem = 'stale' | 'no-key' | KeyProblem;

export type Identification =
  | { readonly kind: 'identified'; readonly identity: CallerIdentity }
  | { readonly kind: 'refused'; readonly problem: IdentityProblem };

/** How long ago the configuration in force was known to be the newest, and how long that is relied upon. */
export interface ConfigurationLease {
  readonly ageMs: number;
  /** Infinity where a withdrawn key may be taken for as long as a node does not hear of it. */
  readonly leaseMs: number;
}

const OPEN: Identification = { kind: 'identified', identity: { kind: 'open' } };
const PUBLIC: Identification = { kind: 'identified', identity: { kind: 'public' } };

/**
 * Tells for whom a request runs. A key is looked up only while the configuration is known to be recent: an older one
 * neither gives a right that may be withdrawn, nor denies one that may have been given since.
 */
export function identifyCaller(
  routes: RouteTable,
  route: HttpRoute,
  key: string | undefined,
  { ageMs, leaseMs }: ConfigurationLease,
): Identification {
  const { tenants } = routes;
  if (tenants === undefined) return OPEN;
  if (key === undefined && route.isPublic) return PUBLIC;
  if (ageMs > leaseMs) return { kind: 'refused', problem: 'stale' };
  if (key === undefined) return { kind: 'refused', problem: 'no-key' };
  const found = tenants.lookUp(key);
  if (found.kind === 'problem') return { kind: 'refused', problem: found.problem };
  return { kind: 'identified', identity: { kind: 'tenant', tenant: found.tenant } };
}
