import * as z from 'zod';

/**
 * A node that can't reach a backend sends a request to it through another node, as an HTTP request on the
 * address for calls between nodes. The relaying node sends it on unchanged and passes the response back; these
 * headers are added on the way between the two nodes only.
 */
export const RELAY_HEADER = {
  /** In the request: id of the backend that it is for. */
  backend: 'canvasridge-relay-backend',
  /** In a response of the relaying node itself: why there is none of the backend, as a {@link RelayFailure}. */
  failure: 'canvasridge-relay-failure',
} as const;

/**
 * Why a relaying node has no response of the backend:
 * - `leaving`, `backing-off`, `old-list`, `unreachable`: not sent, as in {@link NotRunReason}
 * - `no-room`: not sent, as the node is stopping, overloaded, out of connections or does not list the backend
 * - `broken`: sent, but the connection ended before the response began
 * - `bad-answer`: sent, but what came back is no valid response
 */
export const relayFailure = z.enum([
  'leaving',
  'backing-off',
  'old-list',
  'unreachable',
  'no-room',
  'broken',
  'bad-answer',
]);
export type RelayFailure = z.infer<typeof relayFailure>;

/** JSON-RPC method by which a node asks another whether it could relay requests to a service. */
export const REACHES_METHOD = 'paths.reaches';
/** With the id of a backend, it is asked for that one; earlier builds answer for the service. */
export const reachesParams = z.object({ service: z.string(), backend: z.string().optional() });
export type ReachesParams = z.infer<typeof reachesParams>;

/** Answer to {@link REACHES_METHOD}. */
export const reachesReply = z.object({ reaches: z.boolean() });
export type ReachesReply = z.infer<typeof reachesReply>;
