import * as z from 'zod';
import { listOf } from '../peers/list-of.js';

/**
 * Messages between nodes about the software versions that began streams. A node of an earlier build answers them with an
 * error.
 */

/** Notifies a home (one of the nodes that remember a stream) of streams that began. */
export const BEGAN_METHOD = 'streams.began';
/** Asks a node which version began a stream. */
export const FIND_METHOD = 'streams.find';

/** Longest name of a service, version or attempt in a message. */
export const MAX_NAME_LENGTH = 256;
const MAX_STREAMS = 4096;
/** Longest time for which a stream is remembered, in milliseconds. */
export const MAX_LIFE_MS = 3_600_000;

const name = z.string().max(MAX_NAME_LENGTH);
const lifeMs = z.number().positive().max(MAX_LIFE_MS);

/** Streams of one service that backends of one version began. */
const begunStreams = z.object({
  service: name,
  version: name,
  /** Time for which they may still be resumed, in milliseconds. */
  leftMs: lifeMs,
  attemptIds: listOf(name, MAX_STREAMS),
});

/** Params of {@link BEGAN_METHOD}. */
export const beganParams = z.object({ streams: listOf(begunStreams, MAX_STREAMS) });
export type BeganParams = z.infer<typeof beganParams>;
export type BegunStreams = z.infer<typeof begunStreams>;

/** Params of {@link FIND_METHOD}. */
export const findParams = z.object({
  service: name,
  /** The client's attempt that received the first event; absent if the client did not name it. */
  attemptId: name.optional(),
  /** How long ago the stream may have begun, in milliseconds. */
  lifeMs,
});
export type FindParams = z.infer<typeof findParams>;

/**
 * Answer to {@link FIND_METHOD}. `version`: the one that began the stream. `reported`: the one of the engines that reported
 * to run the attempt; absent from earlier builds. `only`: the only version of the service
 * within `lifeMs`. `isMixed`: there were several. None of them if the node knows nothing.
 */
export const findReply = z.object({
  version: name.optional(),
  reported: name.optional(),
  only: name.optional(),
  isMixed: z.boolean().optional(),
});
export type FindReply = z.infer<typeof findReply>;
