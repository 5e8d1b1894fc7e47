import type { IncomingMessage } from 'node:http';
import type { Clock } from '@canvasridge/clock';
import type { LimitedEvents } from '@canvasridge/telemetry';
import type { ReadTurns } from './read-turns.js';

/** How long the rest of a body may take after its request was answered, in milliseconds. */
export const MAX_REST_MS = 10_000;
const MAX_LOGGED_ID = 64;

export interface RestLimitOptions {
  readonly readTurns: ReadTurns;
  readonly clock: Pick<Clock, 'setTimer'>;
  /** For `request.body-cut`. */
  readonly events: Pick<LimitedEvents, 'event'>;
  /** Of the request, for log lines. */
  readonly id: string;
  /** Size of the largest rest. */
  readonly maxBytes: number;
}

/**
 * Drops the rest of a body whose request was answered before its end, and closes the connection if there is too much of it
 * or if it takes too long. A client that sends it may use its connection again.
 */
export function limitRest(
  request: IncomingMessage,
  { readTurns, clock, events, id, maxBytes }: RestLimitOptions,
): void {
  const { socket } = request;
  if (request.complete || socket.destroyed) return;
  let restBytes = 0;
  const stop = (): void => {
    timer.cancel();
    socket.off('close', stop);
  };
  const cut = (reason: 'too-long' | 'too-late'): void => {
    if (socket.destroyed) return;
    stop();
    const fields = { id: id.slice(0, MAX_LOGGED_ID), restBytes, reason };
    events.event('info', 'request.body-cut', 'bodies', fields);
    socket.destroy();
  };
  const timer = clock.setTimer(MAX_REST_MS, () => cut('too-late'));
  const countChunk = readTurns.counter(socket);
  request.on('data', (chunk: Buffer) => {
    countChunk();
    restBytes += chunk.length;
    if (restBytes > maxBytes) cut('too-long');
  });
  request.on('end', stop);
  // The request itself tells nothing of a connection that closes after the response.
  socket.on('close', stop);
}
