import type { ServerResponse } from 'node:http';
import type { Problem, StreamSink } from '@canvasridge/domain';
import type { RequestEnd } from '../requests/inbound.js';

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or are set anew. */
const NOT_PASSED: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'date',
]);

/**
 * What is done with an answer that breaks off after its start: callers are told in an event where the
 * format has one; towards a peer the connection is cut, so that it can resume the stream itself.
 */
export type BreakStyle = 'tell' | 'cut';

/** An answer on an HTTP connection. */
export class ResponseSink implements StreamSink {
  readonly #response: ServerResponse;
  readonly #onBreak: BreakStyle;

  constructor(response: ServerResponse, onBreak: BreakStyle) {
    this.#response = response;
    this.#onBreak = onBreak;
  }

  start(status: number, headers: Readonly<Record<string, string>>): void {
    if (this.#response.headersSent) return;
    const passed: Record<string, string> = {};
    for (const name in headers) {
      const value = headers[name];
      if (value !== undefined && !NOT_PASSED.has(name)) passed[name] = value;
    }
    this.#response.writeHead(status, passed);
  }

  write(chunk: Uint8Array): boolean {
    return this.#response.write(chunk);
  }

  /** Resolves also when the connection has closed, so that no writer waits forever. */
  waitForDrain(): Promise<void> {
    const response = this.#response;
    if (!response.writableNeedDrain || response.destroyed) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        response.off('drain', finish);
        response.off('close', finish);
        resolve();
      };
      response.on('drain', finish);
      response.on('close', finish);
    });
  }

  /** Ends the answer in the way that fits its end. */
  finish(end: RequestEnd): void {
    const response = this.#response;
    if (response.destroyed) return;
    if (end.kind === 'completed') {
      if (!response.headersSent) response.writeHead(204);
      response.end();
      return;
    }
    if (!response.headersSent) writeProblem(response, end.problem);
    else if (this.#onBreak === 'cut') response.destroy();
    else breakOff(response, end.problem);
  }
}

/** Writes a problem document as the whole answer. */
export function writeProblem(response: ServerResponse, problem: Problem): void {
  const body = JSON.stringify(problem);
  const headers: Record<string, string | number> = {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
  };
  if (problem.retryAfterSeconds !== undefined) headers['retry-after'] = Math.ceil(problem.retryAfterSeconds);
  response.writeHead(problem.status, headers);
  response.end(body);
}

/**
 * The answer has started and cannot be completed. An event stream says so in an `error` event; any other
 * answer is cut, which a client sees as an incomplete body.
 */
function breakOff(response: ServerResponse, problem: Problem): void {
  const contentType = String(response.getHeader('content-type') ?? '');
  if (!contentType.startsWith('text/event-stream')) {
    response.destroy();
    return;
  }
  response.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
}
