import { parseSocketAddress, type SocketAddress } from '@canvasridge/addresses';
import type { Member } from '@canvasridge/membership';

/** What the directory needs to know about the nodes. */
export interface DirectoryCluster {
  /** Members considered to be serving. */
  serving(): readonly Member[];
  /** Ids of members that report being overloaded. */
  busy(): ReadonlySet<string>;
}

/** What the directory needs to know about the paths of the nodes to backends. */
export interface DirectoryPaths {
  /** Whether a member can't reach a service that any other reaches. */
  isImpaired(memberId: string): boolean;
}

/** If the caller's zone has at least this many nodes, only those are listed. */
const MIN_NODES_IN_ZONE = 2;
/**
 * Where more nodes serve, callers are sent to at least this many: two of them may be lost before that is
 * known.
 */
const MIN_LISTED_NODES = 3;
/** A node with at least this fraction of the strongest node's capacity counts as equally good. */
const STRONG_CAPACITY_FRACTION = 0.5;
/** Fraction of fleet-wide limits that belongs to the nodes to which callers are sent, where these are few. */
const LISTED_SHARE = 0.75;
const OTHERS_SHARE = 1 - LISTED_SHARE;

/**
 * Lists the nodes to which callers connect: those that serve now, the nearest first. Of these it lists the
 * ones with the highest capacity that lead no pools, as long as none of them is overloaded: requests through
 * a machine with more CPU time and bandwidth start sooner, a stronger process is back sooner after a
 * power failure, and with few nodes the connections to backends stay few and reused. Otherwise it lists all
 * of them. Nodes that have lost their paths to backends are left out while any other node is left.
 */
export class Directory {
  readonly #cluster: DirectoryCluster;
  readonly #leaders: () => ReadonlySet<string>;
  readonly #paths: DirectoryPaths;

  /** @param leaders ids of the nodes that lead pools, whose loss should not also interrupt callers */
  constructor(
    cluster: DirectoryCluster,
    leaders: () => ReadonlySet<string>,
    paths: DirectoryPaths = NO_IMPAIRED,
  ) {
    this.#cluster = cluster;
    this.#leaders = leaders;
    this.#paths = paths;
  }

  /** `IP:port` of at most `limit` nodes for a caller in a zone. */
  addresses(zone: string, region: string, limit: number): SocketAddress[] {
    const members = this.#cluster.serving().filter(hasCallerAddress);
    const reaching = members.filter(({ id }) => !this.#paths.isImpaired(id));
    const serving = reaching.length > 0 ? reaching : members;
    const inZone = serving.filter((member) => member.zone === zone);
    const inRegion = serving.filter((member) => member.region === region);
    const nearest = [inZone, inRegion].find((members) => members.length >= MIN_NODES_IN_ZONE) ?? serving;
    return this.#strongest(nearest)
      .slice(0, limit)
      .flatMap((member) => parseSocketAddress(member.callerUrl) ?? []);
  }

  /**
   * The fraction of a fleet-wide limit that belongs to a node, from 0 to 1: callers are sent to a few nodes,
   * so these get most of it; the others keep some for callers that use an older list, but never more than a
   * listed node.
   */
  shareOf(id: string): number {
    const serving = this.#cluster.serving();
    const zones = new Set(serving.map((member) => member.zone));
    const listed = [...zones].flatMap((zone) =>
      this.#strongest(serving.filter((member) => member.zone === zone)),
    );
    const others = serving.length - listed.length;
    const weight = others === 0 ? 1 : Math.min(1, (OTHERS_SHARE / LISTED_SHARE) * (listed.length / others));
    const isListed = listed.some((member) => member.id === id);
    return (isListed ? 1 : weight) / (listed.length + others * weight || 1);
  }

  #strongest(members: readonly Member[]): readonly Member[] {
    const leaders = this.#leaders();
    const free = members.filter(({ id }) => !leaders.has(id));
    if (free.length <= MIN_LISTED_NODES) return members;
    const ranked = [...free].sort((a, b) => b.capacity - a.capacity || (a.id < b.id ? -1 : 1));
    const strongCapacity = (ranked[0]?.capacity ?? 0) * STRONG_CAPACITY_FRACTION;
    const strong = ranked.filter(
      ({ capacity }, index) => index < MIN_LISTED_NODES || capacity >= strongCapacity,
    );
    const busy = this.#cluster.busy();
    return strong.some(({ id }) => busy.has(id)) ? free : strong;
  }
}

/** Clients can't connect to a member that announces none. */
function hasCallerAddress({ callerUrl }: Member): boolean {
  return parseSocketAddress(callerUrl) !== undefined;
}

const NO_IMPAIRED: DirectoryPaths = { isImpaired: () => false };
