import type { IncomingMessage } from 'node:http';
import { problem, type Problem } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';
import { SegmentedBuffer } from './segmented-buffer.js';

/** Reads a request body of at most `limitBytes`. A larger one is refused without waiting for its end. */
export function readBody(message: IncomingMessage, limitBytes: number): Promise<Result<Uint8Array, Problem>> {
  return new Promise((resolve) => {
    const expectedBytes = Number(message.headers['content-length'] ?? 0);
    const content = new SegmentedBuffer();
    const add = (chunk: Buffer): void => {
      if (content.length + chunk.length <= limitBytes) {
        content.add(chunk, expectedBytes);
        return;
      }
      message.removeListener('data', add);
      message.resume();
      content.clear();
      resolve(err(problem('body-too-large', 'no', { detail: `at most ${limitBytes} bytes are allowed` })));
    };
    message.on('data', add);
    message.on('end', () => resolve(ok(content.take())));
    message.on('error', () => resolve(err(problem('cancelled', 'no'))));
  });
}
