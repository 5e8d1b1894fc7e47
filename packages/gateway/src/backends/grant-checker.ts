import { softwareVersionOf, type BackendDescription, type FleetState } from '@canvasridge/serving';
import type { PoolRequest, SlotDecision, UseOutcome } from '@canvasridge/slots';
import type { BackendAvailability } from './backend-availability.js';
import type { PickContext } from './picker.js';

/** A decision by which the leader of a pool granted a slot of a backend. */
export type Grant = SlotDecision & { readonly kind: 'granted' };

/** Checks the backends that leaders grant against what this node knows of them. */
export class GrantChecker {
  readonly #fleet: FleetState;
  readonly #availability: BackendAvailability;

  constructor(fleet: FleetState, availability: BackendAvailability) {
    this.#fleet = fleet;
    this.#availability = availability;
  }

  /**
   * The outcome with which a granted slot must be given back, after which the request asks for another one;
   * undefined if the slot can be used.
   */
  async outcomeIfUnusable(
    decision: Grant,
    { softwareVersion }: Pick<PoolRequest, 'softwareVersion'>,
  ): Promise<UseOutcome | undefined> {
    const { backendId } = decision;
    const version = this.#fleet.backend(backendId)?.softwareVersion ?? decision.softwareVersion ?? '';
    if (softwareVersion !== undefined && softwareVersion !== version) return 'cancelled';
    // This node knows that the engine leaves before the leader does.
    if (this.#fleet.isLeaving(backendId) || this.#hasLeftList(decision)) return 'refused';
    // The engine refused another request of this node while this one waited for its slot. Other nodes may
    // still use it.
    if (this.#availability.isBackingOff(backendId)) return 'cancelled';
    // The leader already charged the request to the rate limit, which it counts for all nodes.
    if (typeof decision.ratePerSecond === 'number') return undefined;
    if (!this.#availability.isRateLimited(backendId)) return undefined;
    return (await this.#availability.takeRateLimitUnit(backendId)) ? undefined : 'cancelled';
  }

  /**
   * Whether an engine that is missing from this node's list was removed from it, rather than added only
   * recently: its entry is older than the list. A node that started after the engine left never listed it,
   * and a leader that is cut off from list updates still grants it.
   */
  #hasLeftList({ backendId, entryEra, entryRevision }: Grant): boolean {
    if (this.#fleet.backend(backendId) !== undefined || entryRevision === undefined) return false;
    return this.#fleet.hasBackendsAsOf({ era: entryEra, revision: entryRevision });
  }

  /**
   * The backends to exclude from the next request for a slot, after one that could not be used. A leader of an earlier
   * build does not heed software versions, so it has to be told each backend of another one.
   */
  excludedAfter(
    unusable: BackendDescription,
    { excluded, service, softwareVersion }: Pick<PickContext, 'excluded' | 'service' | 'softwareVersion'>,
  ): readonly string[] {
    const ofOtherVersions =
      softwareVersion === undefined || softwareVersionOf(unusable) === softwareVersion
        ? []
        : this.#fleet
            .backendsOf(service.name)
            .filter((backend) => softwareVersionOf(backend) !== softwareVersion)
            .map(({ id }) => id);
    return [...new Set([...excluded, unusable.id, ...ofOtherVersions])];
  }

  /** The granted engine. The leader may know an engine that is not listed on this node yet. */
  backend(service: string, decision: Grant): BackendDescription {
    const listed = this.#fleet.backend(decision.backendId);
    if (listed !== undefined) return listed;
    const { backendId: id, address, softwareVersion } = decision;
    const version = softwareVersion === undefined ? {} : { softwareVersion };
    return { id, service, address, zone: '', state: 'ready', slots: 1, models: [], ...version };
  }
}
