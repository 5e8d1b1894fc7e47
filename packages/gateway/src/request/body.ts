import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { BodyMemoryBudget } from './body-memory-budget.js';

/** `no-room`: the memory that this node may use for request bodies is used up. */
export type BodyError =
  { readonly kind: 'too-large' } | { readonly kind: 'no-room' } | { readonly kind: 'aborted' };

/**
 * Reads a whole request body of at most `limit` bytes. On success the caller has to release the memory
 * reserved for it, by the size of the body; on failure it is released here.
 */
export function readBody(
  request: IncomingMessage,
  limit: number,
  memory: BodyMemoryBudget,
): Promise<Result<Buffer, BodyError>> {
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > limit) return Promise.resolve(err({ kind: 'too-large' }));
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let settled = false;
    const fail = (kind: BodyError['kind']): void => {
      if (settled) return;
      settled = true;
      memory.release(size);
      chunks.length = 0;
      resolve(err({ kind }));
    };
    request.on('data', (chunk: Buffer) => {
      if (settled) return;
      if (size + chunk.length > limit) fail('too-large');
      else if (!memory.reserve(chunk.length, Math.max(announcedBytes, size + chunk.length))) fail('no-room');
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
