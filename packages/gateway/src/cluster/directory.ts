import type { Cluster } from './cluster.js';

/** Nodes of the caller's zone are named alone if there are at least so many. */
const ENOUGH_IN_ZONE = 2;

/** Where callers connect: nodes that serve now, the nearest first. */
export class Directory {
  readonly #cluster: Cluster;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /** `IP:port` of at most `limit` nodes for a caller in a zone. */
  addresses(zone: string, region: string, limit: number): string[] {
    const serving = this.#cluster.serving();
    const inZone = serving.filter((member) => member.zone === zone);
    const inRegion = serving.filter((member) => member.region === region);
    const nearest = [inZone, inRegion].find((members) => members.length >= ENOUGH_IN_ZONE) ?? serving;
    return nearest.slice(0, limit).map((member) => member.callerUrl);
  }
}
