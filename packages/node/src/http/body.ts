import type { IncomingMessage } from 'node:http';
import { problem, type Problem } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';
import type { MemoryBudget } from './memory-budget.js';
import { SegmentedBuffer } from './segmented-buffer.js';

/** Bytes that a body has to receive to count as one that makes progress. */
const PROGRESS_BYTES = 4096;
const RETRY_AFTER_SECONDS = 1;

/** A body that counts against the budget until it is released. */
export interface HeldBody {
  readonly bytes: Uint8Array;
  release(): void;
}

/**
 * Reads a request body of at most `limitBytes`. A larger one is refused without waiting for its end, and so is one for
 * which there is no memory. Until its end has arrived, it may have to give way to others.
 */
export function readBody(
  message: IncomingMessage,
  limitBytes: number,
  budget: MemoryBudget,
): Promise<Result<HeldBody, Problem>> {
  return new Promise((resolve) => {
    const expectedBytes = Number(message.headers['content-length'] ?? 0);
    const content = new SegmentedBuffer();
    let settled = false;
    let progressBytes = 0;
    const fail = (document: Problem): void => {
      if (settled) return;
      settled = true;
      holder.release();
      content.clear();
      message.removeListener('data', add);
      message.resume();
      resolve(err(document));
    };
    const add = (chunk: Buffer): void => {
      const length = content.length + chunk.length;
      if (length > limitBytes) {
        fail(tooLarge(limitBytes));
        return;
      }
      if (!holder.resize(content.capacityFor(chunk.length, expectedBytes))) {
        fail(noMemory());
        return;
      }
      content.add(chunk, expectedBytes);
      if (length - progressBytes < PROGRESS_BYTES) return;
      progressBytes = length;
      holder.progressed();
    };
    const holder = budget.open(() => fail(noMemory()));
    message.on('error', () => fail(problem('cancelled', 'no')));
    message.on('close', () => fail(problem('cancelled', 'no')));
    if (expectedBytes > limitBytes) {
      fail(tooLarge(limitBytes));
      return;
    }
    message.on('data', add);
    message.on('end', () => {
      if (settled) return;
      settled = true;
      holder.keep();
      const bytes = content.take();
      holder.resize(bytes.buffer.byteLength);
      resolve(ok({ bytes, release: () => holder.release() }));
    });
  });
}

function tooLarge(limitBytes: number): Problem {
  return problem('body-too-large', 'no', { detail: `at most ${limitBytes} bytes are allowed` });
}

function noMemory(): Problem {
  return problem('overloaded', 'no', {
    detail: 'no memory is left for the body of the request',
    retryAfterSeconds: RETRY_AFTER_SECONDS,
  });
}
