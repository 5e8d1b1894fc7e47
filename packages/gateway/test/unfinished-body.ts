import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { HOST } from './harness.js';

/** A request whose body has begun, on a connection of its own. */
export interface UnfinishedBody {
  readonly socket: Socket;
  /** What the node has answered so far. */
  readonly answer: () => string;
  readonly isClosed: () => boolean;
}

export interface UnfinishedBodyOptions {
  readonly path?: string;
  readonly announcedBytes: number;
  readonly sentBytes: number;
}

/** Sends a request with the beginning of its body; the connection is closed when the test ends. */
export async function sendUnfinishedBody(
  t: ExecutionContext,
  port: number,
  attemptId: string,
  { path = '/x/', announcedBytes, sentBytes }: UnfinishedBodyOptions,
): Promise<UnfinishedBody> {
  const socket = connect(port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  let answer = '';
  socket.setEncoding('latin1');
  socket.on('data', (part: string) => (answer += part));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${attemptId}\r\n` +
      `Content-Length: ${announcedBytes}\r\n\r\n${'x'.repeat(sentBytes)}`,
  );
  return { socket, answer: () => answer, isClosed: () => socket.destroyed };
}

/** Resolves when the condition holds; if it never does, the test ends by its time limit. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}
