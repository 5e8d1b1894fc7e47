import type { EngineDefinition } from '@canvasridge/domain';
import type { Member } from '@canvasridge/membership';
import { hash32, mixScores } from '@canvasridge/placement';

/** Most that a node owns, over the mean of its zone: what it sends for ownership grows with its engines. */
const LOAD_BOUND = 1.25;

/**
 * The member that should own each engine. An engine goes to the member of its zone with the highest
 * rendezvous score that is below its bound (consistent hashing with bounded loads, Mirrokni, Thorup and
 * Zadimoghaddam, 2016, on rendezvous scores); where its zone has no member, to any. Suspected members
 * count as present: a suspicion alone moves nothing. Nodes that see the same members agree.
 */
export function assignOwners(
  engines: readonly EngineDefinition[],
  present: readonly Member[],
): ReadonlyMap<string, string> {
  const working = present.filter((member) => member.state !== 'draining');
  const zones = new Map<string, EngineDefinition[]>();
  for (const engine of engines) zones.set(engine.zone, [...(zones.get(engine.zone) ?? []), engine]);
  const owners = new Map<string, string>();
  for (const [zone, ofZone] of zones) {
    const near = working.filter((member) => member.zone === zone);
    assignWithin(ofZone, near.length > 0 ? near : working, owners);
  }
  return owners;
}

interface Candidate {
  readonly id: string;
  readonly hash: number;
  owned: number;
}

function assignWithin(
  engines: readonly EngineDefinition[],
  members: readonly Member[],
  owners: Map<string, string>,
): void {
  const bound = Math.ceil((engines.length / Math.max(1, members.length)) * LOAD_BOUND);
  const candidates = members
    .map((member): Candidate => ({ id: member.id, hash: hash32(member.id), owned: 0 }))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  // In the order of their names, so that every node fills members up in the same order.
  const ordered = [...engines].sort((a, b) => (a.id < b.id ? -1 : 1));
  for (const engine of ordered) {
    const owner = highestBelowBound(hash32(engine.id), candidates, bound);
    if (owner === undefined) continue;
    owner.owned += 1;
    owners.set(engine.id, owner.id);
  }
}

function highestBelowBound(
  engineHash: number,
  candidates: readonly Candidate[],
  bound: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    if (candidate.owned >= bound) continue;
    const score = mixScores(engineHash, candidate.hash);
    if (score <= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}
