import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { BodyRoom } from './body-room.js';

/** `no-room`: this node holds as many bodies as it can bear. */
export type BodyError =
  { readonly kind: 'too-large' } | { readonly kind: 'no-room' } | { readonly kind: 'aborted' };

/**
 * Reads a whole request body of at most `limit` bytes. Its room is the caller's to give back, by the size of the body;
 * that of a body that did not come whole is given back here.
 */
export function readBody(
  request: IncomingMessage,
  limit: number,
  room: BodyRoom,
): Promise<Result<Buffer, BodyError>> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > limit) return Promise.resolve(err({ kind: 'too-large' }));
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let settled = false;
    const fail = (kind: BodyError['kind']): void => {
      if (settled) return;
      settled = true;
      room.giveBack(size);
      chunks.length = 0;
      resolve(err({ kind }));
    };
    request.on('data', (chunk: Buffer) => {
      if (settled) return;
      if (size + chunk.length > limit) fail('too-large');
      else if (!room.take(chunk.length, Math.max(announced, size + chunk.length))) fail('no-room');
      else {
        size += chunk.length;
        chunks.push(chunk);
      }
    });
    request.on('end', () => {
      if (settled) return;
      settled = true;
      resolve(ok(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks)));
    });
    request.on('error', () => fail('aborted'));
    request.on('close', () => fail('aborted'));
  });
}
