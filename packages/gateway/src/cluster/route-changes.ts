import type { HttpRoute } from '@canvasridge/serving';

/** Routes of one kind of change that are named in a log line, at most. */
const MAX_NAMED = 4;

/** How the routes of a configuration differ from those of the one before, as fields of a log line. */
export interface RouteChanges {
  readonly added: number;
  readonly changed: number;
  readonly removed: number;
  /** The first added and changed routes with their limits; absent if there are none. */
  readonly details?: string;
}

/** Compares routes by name, and their limits; which services they lead to is not compared. */
export function routeChanges(before: readonly HttpRoute[], after: readonly HttpRoute[]): RouteChanges {
  const known = new Map(before.map((route) => [route.name, describeRoute(route)]));
  const names = new Set(after.map(({ name }) => name));
  const added = after.filter(({ name }) => !known.has(name)).map(describeRoute);
  const changed = after
    .filter((route) => known.has(route.name) && known.get(route.name) !== describeRoute(route))
    .map(describeRoute);
  const details = [...added.slice(0, MAX_NAMED), ...changed.slice(0, MAX_NAMED)].join(' ');
  return {
    added: added.length,
    changed: changed.length,
    removed: [...known.keys()].filter((name) => !names.has(name)).length,
    ...(details === '' ? {} : { details }),
  };
}

function describeRoute({ name, pathPrefix, priority, objectiveMs, timeoutMs }: HttpRoute): string {
  return `${name}:${pathPrefix},priority=${priority},objectiveMs=${objectiveMs},timeoutMs=${timeoutMs}`;
}
