import type { Member } from '@canvasridge/membership';

/** What the directory needs to know of the nodes. */
export interface DirectorySight {
  /** Members believed to serve. */
  serving(): readonly Member[];
  /** Names of members that say that they have more to do than they can bear. */
  busy(): ReadonlySet<string>;
}

/** Nodes of the caller's zone are named alone if there are at least so many. */
const ENOUGH_IN_ZONE = 2;
/** Fewest nodes that callers are sent to where more serve: two of them may be lost before it is known. */
const FEWEST_NAMED = 3;
/** A node that can carry this part of what the strongest one can is as good. */
const STRONG_SHARE = 0.5;
/** Part of bounds on the whole fleet that the nodes have to which callers are sent, where these are few. */
const NAMED_SHARE = 0.75;
const OTHERS_SHARE = 1 - NAMED_SHARE;

/**
 * Where callers connect: nodes that serve now, the nearest first. Of those the ones that can carry most and hand out no
 * slots themselves, as long as none of them is busy: requests through a machine with more processor and link start
 * sooner, a stronger process is back sooner after a loss of power, and a few nodes keep their connections to back ends.
 * Otherwise all.
 */
export class Directory {
  readonly #sight: DirectorySight;
  readonly #leaders: () => ReadonlySet<string>;

  /** @param leaders names of the nodes that hand out slots, whose loss should cost callers nothing else */
  constructor(sight: DirectorySight, leaders: () => ReadonlySet<string>) {
    this.#sight = sight;
    this.#leaders = leaders;
  }

  /** `IP:port` of at most `limit` nodes for a caller in a zone. */
  addresses(zone: string, region: string, limit: number): string[] {
    const serving = this.#sight.serving();
    const inZone = serving.filter((member) => member.zone === zone);
    const inRegion = serving.filter((member) => member.region === region);
    const nearest = [inZone, inRegion].find((members) => members.length >= ENOUGH_IN_ZONE) ?? serving;
    return this.#strongest(nearest)
      .slice(0, limit)
      .map((member) => member.callerUrl);
  }

  /**
   * The part of a bound on the whole fleet that falls to a node, from 0 to 1: callers are sent to a few nodes, so these
   * have most of it; the others keep some for callers that go by an older answer, but none more than a named one.
   */
  shareOf(id: string): number {
    const serving = this.#sight.serving();
    const zones = new Set(serving.map((member) => member.zone));
    const named = [...zones].flatMap((zone) =>
      this.#strongest(serving.filter((member) => member.zone === zone)),
    );
    const others = serving.length - named.length;
    const weight = others === 0 ? 1 : Math.min(1, (OTHERS_SHARE / NAMED_SHARE) * (named.length / others));
    const isNamed = named.some((member) => member.id === id);
    return (isNamed ? 1 : weight) / (named.length + others * weight || 1);
  }

  #strongest(members: readonly Member[]): readonly Member[] {
    const leaders = this.#leaders();
    const free = members.filter(({ id }) => !leaders.has(id));
    if (free.length <= FEWEST_NAMED) return members;
    const ranked = [...free].sort((a, b) => b.capacity - a.capacity || (a.id < b.id ? -1 : 1));
    const strongCapacity = (ranked[0]?.capacity ?? 0) * STRONG_SHARE;
    const strong = ranked.filter(({ capacity }, index) => index < FEWEST_NAMED || capacity >= strongCapacity);
    const busy = this.#sight.busy();
    return strong.some(({ id }) => busy.has(id)) ? free : strong;
  }
}
