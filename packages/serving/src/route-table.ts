import { TenantTable } from './tenants.js';
import type { BackendService, HttpRoute, ServingConfiguration, WeightedService } from './configuration.js';

/**
 * Finds the routes of one configuration by host and longest path prefix. Prefixes end with a slash, so a
 * search takes at most one lookup for each slash of the path, regardless of the number of routes.
 */
export class RouteTable {
  readonly configuration: ServingConfiguration;
  readonly #routesByHost = new Map<string, Map<string, HttpRoute>>();
  /** Undefined if requests need no key. */
  readonly tenants: TenantTable | undefined;
  readonly #services = new Map<string, BackendService>();

  constructor(configuration: ServingConfiguration) {
    this.configuration = configuration;
    const { tenants } = configuration;
    this.tenants = tenants === undefined ? undefined : new TenantTable(tenants);
    for (const route of configuration.routes) this.#add(route);
    for (const service of configuration.services) this.#services.set(service.name, service);
  }

  /** The route of a request, or undefined. `host` may include a port; `target` may include a query. */
  find(host: string, target: string): HttpRoute | undefined {
    const routes = this.#routesByHost.get(hostName(host));
    if (routes === undefined) return undefined;
    const path = pathOf(target);
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
    }
    return undefined;
  }

  service(name: string): BackendService | undefined {
    return this.#services.get(name);
  }

  #add(route: HttpRoute): void {
    const host = hostName(route.host);
    let routes = this.#routesByHost.get(host);
    if (routes === undefined) {
      routes = new Map();
      this.#routesByHost.set(host, routes);
    }
    routes.set(route.pathPrefix, route);
  }
}

/** Picks a service at random by weight; `fraction` is a uniform random number in [0, 1). */
export function pickService(services: readonly WeightedService[], fraction: number): string | undefined {
  let total = 0;
  for (const { weight } of services) total += weight;
  let left = fraction * total;
  for (const { service, weight } of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services.at(-1)?.service;
}

function hostName(host: string): string {
  const port = host.lastIndexOf(':');
  const name = port > 0 && !host.endsWith(']') ? host.slice(0, port) : host;
  return name.toLowerCase();
}

function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query === -1 ? target : target.slice(0, query);
}
