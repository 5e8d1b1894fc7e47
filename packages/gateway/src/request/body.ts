import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { BodyBuffer } from './body-buffer.js';
import type { BodyMemoryBudget } from './body-memory-budget.js';

/** `no-room`: the memory that this node may use for request bodies is used up. */
export type BodyError =
  { readonly kind: 'too-large' } | { readonly kind: 'no-room' } | { readonly kind: 'aborted' };

/** A whole request body, whose memory is reserved until it is released. */
export interface HeldBody {
  readonly bytes: Buffer;
  /** To be called once, when the body is not needed any more. */
  readonly release: () => void;
}

export interface BodyReading {
  /** Size of the largest body. */
  readonly limitBytes: number;
  readonly memory: BodyMemoryBudget;
  /** Ends the reading; what arrives afterwards is dropped. */
  readonly signal?: AbortSignal;
}

/** Reads a whole request body. On failure its memory is released here. */
export function readBody(
  request: IncomingMessage,
  { limitBytes, memory, signal }: BodyReading,
): Promise<Result<HeldBody, BodyError>> {
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > limitBytes) return Promise.resolve(err({ kind: 'too-large' }));
  return new Promise((resolve) => {
    let body = new BodyBuffer(announcedBytes, limitBytes);
    let settled = false;
    const fail = (kind: BodyError['kind']): void => {
      if (settled) return;
      settled = true;
      memory.release(body.capacity);
      body = new BodyBuffer(0, 0);
      resolve(err({ kind }));
    };
    request.on('data', (chunk: Buffer) => {
      if (settled) return;
      const size = body.size + chunk.length;
      if (size > limitBytes) return fail('too-large');
      const moreBytes = body.capacityWith(chunk.length) - body.capacity;
      if (moreBytes > 0 && !memory.reserve(moreBytes, Math.max(announcedBytes, size))) return fail('no-room');
      body.append(chunk);
    });
    request.on('end', () => {
      if (settled) return;
      settled = true;
      const { bytes, capacity } = body;
      resolve(ok({ bytes, release: () => memory.release(capacity) }));
    });
    request.on('error', () => fail('aborted'));
    request.on('close', () => fail('aborted'));
    if (signal?.aborted === true) fail('aborted');
    else signal?.addEventListener('abort', () => fail('aborted'));
  });
}
