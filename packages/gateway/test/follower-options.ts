import type { Clock } from '@canvasridge/clock';
import type { FleetState, ServingConfiguration } from '@canvasridge/serving';
import { Telemetry } from '@canvasridge/telemetry';
import {
  ConfigurationFreshness,
  departureBudget,
  type FollowAnswer,
  type FollowRequest,
  type StateFollower,
} from '../src/index.js';
import { addressOf, idAt } from './peer-addresses.js';

export const NOTHING_WAITS = { forPeer: 0, forAll: 0 };

/** A configuration without routes, services or tenants. */
export const BARE_CONFIGURATION: ServingConfiguration = {
  version: 3,
  routes: [],
  services: [],
  limits: { maxHeaderBytes: 8192, maxBodyBytes: 65_536, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
  tenants: undefined,
};

type Options = ConstructorParameters<typeof StateFollower>[0];

/**
 * Options of a follower among nodes that are ranked in the given order.
 */
export function followerOptions(given: {
  readonly clock: Clock;
  readonly fleet: FleetState;
  readonly ids: readonly string[];
  readonly selfId: string;
  readonly drainMs: number;
  readonly zoneOf?: (id: string) => string;
  /** Answer of a node; undefined if it does not answer. */
  readonly answer: (id: string, known: FollowRequest) => FollowAnswer | undefined;
}): Options {
  const { clock, fleet, ids, selfId, drainMs, zoneOf = () => 'z', answer } = given;
  return {
    clock,
    fleet,
    network: {
      to: (address) => ({
        call: (_method, params) => {
          const reply = answer(idAt(address), params as FollowRequest);
          return Promise.resolve(reply && (JSON.parse(JSON.stringify(reply)) as unknown));
        },
      }),
    },
    telemetry: new Telemetry({ processName: 'test', clock }),
    selfId,
    nodeCount: () => ids.length,
    ranked: () => ids,
    peerAddress: addressOf,
    zoneOf,
    needsWholeState: () => false,
    budget: departureBudget(drainMs),
    freshness: new ConfigurationFreshness(clock, fleet),
    onConfigurationOffered: () => undefined,
  };
}
