/** What a node tells the others about itself. Fixed for the life of the process. */
export interface MemberIdentity {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** UDP address of this protocol, `IP:port`. */
  readonly gossip: string;
  /** Where peers send JSON-RPC and forwarded requests. */
  readonly peerUrl: string;
  /** Where callers connect. */
  readonly callerUrl: string;
  /** Random per process start: tells a restarted process from the one before it. */
  readonly processToken: string;
  /** Processor time that the node may use, in cores of the usual speed; 0 if it does not tell. */
  readonly capacity: number;
}

/** `left` was announced by the member itself, `dead` was concluded by others. */
export type MemberState = 'alive' | 'suspect' | 'draining' | 'dead' | 'left';

/** A member as this node believes it to be. */
export interface Member extends MemberIdentity {
  readonly incarnation: number;
  readonly state: MemberState;
}

/** States in which a member takes part in the protocol. */
export function isPresent(state: MemberState): boolean {
  return state === 'alive' || state === 'suspect' || state === 'draining';
}

/**
 * Order of claims about one member within one incarnation (SWIM, section 4.2): a later one overrides.
 * `draining` stands above `suspect`: a member announces it itself with a new incarnation.
 */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  draining: 1,
  suspect: 2,
  dead: 3,
  left: 4,
};

/** Whether (`incarnation`, `state`) overrides what is known. */
export function overrides(
  incarnation: number,
  state: MemberState,
  known: { readonly incarnation: number; readonly state: MemberState },
): boolean {
  if (incarnation !== known.incarnation) return incarnation > known.incarnation;
  return STATE_RANK[state] > STATE_RANK[known.state];
}
