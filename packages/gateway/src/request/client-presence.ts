import type { IncomingMessage } from 'node:http';

/**
 * Whether the sender of a request has closed or reset its connection, as far as that was read. The response's `close` event
 * tells the same some turns of the event loop later.
 */
export function hasClientLeft({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}
