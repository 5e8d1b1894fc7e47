import type { EngineDefinition } from '@canvasridge/domain';
import type { Member } from '@canvasridge/membership';
import { hash32, mixScores } from '@canvasridge/placement';

/**
 * Maximum number of engines that a node owns, relative to the mean of its zone. Bounded because the ownership
 * traffic of a node grows with the number of its engines.
 */
const LOAD_BOUND_FACTOR = 1.25;

/**
 * Assigns an owner to each engine; returns member ids by engine id. An engine goes to the member of its zone
 * with the highest rendezvous score among those below their bound (consistent hashing with bounded loads,
 * Mirrokni, Thorup and Zadimoghaddam, 2016, applied to rendezvous scores), or to a member of any zone if its
 * own zone has none. Suspected members count as present, so a suspicion alone moves no engine. Nodes that see
 * the same members compute the same owners.
 */
export function assignOwners(
  engines: readonly EngineDefinition[],
  present: readonly Member[],
): ReadonlyMap<string, string> {
  const eligible = present.filter((member) => member.state !== 'draining');
  const enginesByZone = new Map<string, EngineDefinition[]>();
  for (const engine of engines)
    enginesByZone.set(engine.zone, [...(enginesByZone.get(engine.zone) ?? []), engine]);
  const owners = new Map<string, string>();
  for (const [zone, zoneEngines] of enginesByZone) {
    const localMembers = eligible.filter((member) => member.zone === zone);
    assignWithin(zoneEngines, localMembers.length > 0 ? localMembers : eligible, owners);
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
  const bound = Math.ceil((engines.length / Math.max(1, members.length)) * LOAD_BOUND_FACTOR);
  const candidates = members
    .map((member): Candidate => ({ id: member.id, hash: hash32(member.id), owned: 0 }))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  // Sorted by id, so that every node assigns the engines in the same order.
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
