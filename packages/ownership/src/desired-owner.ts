import type { EngineDefinition } from '@canvasridge/domain';
import type { Member } from '@canvasridge/membership';
import { highestRendezvous } from '@canvasridge/placement';

/**
 * The member that should own an engine: the highest rendezvous score among members that take new work,
 * members of the engine's zone first. Suspected members count as present: a suspicion alone moves nothing.
 */
export function desiredOwner(engine: EngineDefinition, present: readonly Member[]): Member | undefined {
  const working = present.filter((member) => member.state !== 'draining');
  const near = working.filter((member) => member.zone === engine.zone);
  return highestRendezvous(engine.id, near.length > 0 ? near : working, (member) => member.id);
}
