import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';

export type BodyError = { readonly kind: 'too-large' } | { readonly kind: 'aborted' };

/** Reads a whole request body of at most `limit` bytes. */
export function readBody(request: IncomingMessage, limit: number): Promise<Result<Buffer, BodyError>> {
  if (Number(request.headers['content-length'] ?? 0) > limit)
    return Promise.resolve(err({ kind: 'too-large' }));
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit) resolve(err({ kind: 'too-large' }));
      else chunks.push(chunk);
    });
    request.on('end', () => resolve(ok(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks))));
    request.on('error', () => resolve(err({ kind: 'aborted' })));
    request.on('close', () => resolve(err({ kind: 'aborted' })));
  });
}
