import type { IncomingMessage } from 'node:http';
import { problem, type Problem } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';

/** Reads a request body of at most `limitBytes`. A larger one is refused without waiting for its end. */
export function readBody(message: IncomingMessage, limitBytes: number): Promise<Result<Uint8Array, Problem>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limitBytes) chunks.push(chunk);
      else {
        message.removeAllListeners('data');
        message.resume();
        resolve(err(problem('body-too-large', 'no', { detail: `at most ${limitBytes} bytes are allowed` })));
      }
    });
    message.on('end', () => resolve(ok(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks))));
    message.on('error', () => resolve(err(problem('cancelled', 'no'))));
  });
}
