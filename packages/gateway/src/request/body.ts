import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { BodyBuffer } from './body-buffer.js';
import type { PendingBodies } from './pending-bodies.js';
import type { ReadTurns } from './read-turns.js';

/**
 * - `no-room`: the memory that this node may use for request bodies is used up
 * - `stalled`: it was used up, and this body made no progress for so long that it had to give way
 */
export type BodyError =
  | { readonly kind: 'too-large' }
  | { readonly kind: 'no-room' }
  | { readonly kind: 'stalled' }
  | { readonly kind: 'aborted' };

/** A whole request body, whose memory is reserved until it is released. */
export interface HeldBody {
  readonly bytes: Buffer;
  /** To be called when the body is not needed any more. */
  readonly release: () => void;
}

export interface BodyReading {
  /** Size of the largest body. */
  readonly limitBytes: number;
  readonly bodies: PendingBodies;
  readonly readTurns: ReadTurns;
  /** Of the request, for log lines. */
  readonly id: string;
  /** Ends the reading; what arrives afterwards is dropped. */
  readonly signal?: AbortSignal;
}

/** Reads a whole request body. On failure its memory is released here. */
export function readBody(
  request: IncomingMessage,
  { limitBytes, bodies, readTurns, id, signal }: BodyReading,
): Promise<Result<HeldBody, BodyError>> {
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > limitBytes) return Promise.resolve(err({ kind: 'too-large' }));
  return new Promise((resolve) => {
    let body = new BodyBuffer(announcedBytes, limitBytes);
    let settled = false;
    const held = bodies.open(id, () => fail('stalled'));
    const fail = (kind: BodyError['kind']): void => {
      if (settled) return;
      settled = true;
      held.release();
      body = new BodyBuffer(0, 0);
      resolve(err({ kind }));
    };
    const countChunk = readTurns.counter(request.socket);
    request.on('data', (chunk: Buffer) => {
      countChunk();
      if (settled) return;
      const size = body.size + chunk.length;
      if (size > limitBytes) return fail('too-large');
      const moreBytes = body.capacityWith(chunk.length) - body.capacity;
      if (moreBytes > 0 && !held.reserve(moreBytes, Math.max(announcedBytes, size))) return fail('no-room');
      body.append(chunk);
      held.received(chunk.length);
    });
    request.on('end', () => {
      if (settled) return;
      settled = true;
      held.complete();
      const { bytes } = body;
      body = new BodyBuffer(0, 0);
      resolve(ok({ bytes, release: () => held.release() }));
    });
    request.on('error', () => fail('aborted'));
    request.on('close', () => fail('aborted'));
    if (signal?.aborted === true) fail('aborted');
    else signal?.addEventListener('abort', () => fail('aborted'), { once: true });
  });
}
