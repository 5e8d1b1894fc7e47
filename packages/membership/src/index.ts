/** Membership of the fleet, gossip of the records that nodes publish, and RPC calls between nodes. */
export { Membership, type MembershipOptions, type MembershipEvents } from './membership.js';
export { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from './timing.js';
export type { Member, MemberIdentity, MemberState } from './member.js';
export type { DatagramTransport } from './datagram-transport.js';
export { UdpTransport } from './udp-transport.js';
export { PeerRpcServer } from './peer-rpc-server.js';
export { HttpPeerCaller, type PeerCaller, type PeerCallError, parseRpcResponse } from './peer-caller.js';
export { type PublishedRecord } from './record-table.js';
export { decodeMessage, encodeMessage, type GossipMessage } from './codec.js';
