/** What a node announces about itself. Does not change while the process runs. */
export interface MemberIdentity {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** UDP address for membership messages, as `IP:port`. */
  readonly gossip: string;
  /** Base URL to which peers send JSON-RPC calls and forwarded requests. */
  readonly peerUrl: string;
  /** Base URL to which callers connect. */
  readonly callerUrl: string;
  /** Random value chosen at each start, which distinguishes a restarted process from its predecessor. */
  readonly processToken: string;
  /**
   * CPU capacity available to the node, in cores of the reference speed; 0 if the node does not announce it.
   */
  readonly capacity: number;
}

/** State of a member. A member announces `left` itself; `dead` is concluded by other members. */
export type MemberState = 'alive' | 'suspect' | 'draining' | 'dead' | 'left';

/** What this node currently believes about a member. */
export interface Member extends MemberIdentity {
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Whether a member in this state still takes part in the protocol. */
export function isPresent(state: MemberState): boolean {
  return state === 'alive' || state === 'suspect' || state === 'draining';
}

/**
 * Precedence of states within one incarnation of a member (SWIM, section 4.2): a higher rank overrides a
 * lower one. A draining member can therefore be suspected within its incarnation. A member announces
 * `draining` itself with a new incarnation, so the announcement overrides an earlier suspicion.
 */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  draining: 1,
  suspect: 2,
  dead: 3,
  left: 4,
};

/** Whether an update with this incarnation and state overrides what is known about the member. */
export function overrides(
  incarnation: number,
  state: MemberState,
  known: { readonly incarnation: number; readonly state: MemberState },
): boolean {
  if (incarnation !== known.incarnation) return incarnation > known.incarnation;
  return STATE_RANK[state] > STATE_RANK[known.state];
}
