import type { ServerResponse } from 'node:http';
import type { Problem, StreamSink } from '@canvasridge/domain';
import type { RequestEnd } from '../requests/inbound.js';
import type { MemoryBudget, MemoryHolder } from './memory-budget.js';

/** Headers that apply to a single connection (RFC 9110, section 7.6.1) or that this server sets itself. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'date',
]);

/**
 * What the connection to the back end holds of an answer while it is paused, in reads of 64 KiB: the one that is being
 * passed on, and two that the socket has read ahead.
 */
const PAUSED_SOURCE_BYTES = 196_608;

/**
 * How a response that fails after its start is ended. `tell`, for callers, sends an `error` event if the
 * response is an event stream. `cut`, for peers, closes the connection, so that the peer resumes the stream.
 */
export type BreakStyle = 'tell' | 'cut';

/**
 * Writes a response to an HTTP connection. What its client has not taken counts against a budget; if that is used up, the
 * connection that has waited longest for its client is closed.
 */
export class ResponseSink implements StreamSink {
  readonly #response: ServerResponse;
  readonly #onBreak: BreakStyle;
  readonly #unsent: MemoryBudget;
  #holder: MemoryHolder | undefined;

  constructor(response: ServerResponse, onBreak: BreakStyle, unsent: MemoryBudget) {
    this.#response = response;
    this.#onBreak = onBreak;
    this.#unsent = unsent;
    response.on('drain', () => this.#freeUnsent());
    response.on('close', () => this.#freeUnsent());
  }

  start(status: number, headers: Readonly<Record<string, string>>): void {
    if (this.#response.headersSent) return;
    const forwarded: Record<string, string> = {};
    for (const name in headers) {
      const value = headers[name];
      if (value !== undefined && !DROPPED_HEADERS.has(name)) forwarded[name] = value;
    }
    this.#response.writeHead(status, forwarded);
  }

  write(chunk: Uint8Array): boolean {
    const response = this.#response;
    if (response.write(chunk)) return true;
    if (response.destroyed) return false;
    this.#holder ??= this.#unsent.open(() => response.destroy());
    if (!this.#holder.resize(response.writableLength + PAUSED_SOURCE_BYTES)) response.destroy();
    return false;
  }

  /** Also resolves when the connection closes, so that no writer waits forever. */
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

  #freeUnsent(): void {
    this.#holder?.release();
    this.#holder = undefined;
  }

  /** Ends the response according to how the request ended. */
  finish(end: RequestEnd): void {
    const response = this.#response;
    this.#freeUnsent();
    if (response.destroyed) return;
    if (end.kind === 'completed') {
      if (!response.headersSent) response.writeHead(204);
      response.end();
      return;
    }
    if (!response.headersSent) writeProblem(response, end.problem);
    else if (this.#onBreak === 'cut') response.destroy();
    else endIncomplete(response, end.problem);
  }
}

/** Writes a problem document as the whole response. */
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
 * Ends a response that has started and cannot be completed. An event stream gets an `error` event; for any
 * other response the connection is closed, which the client sees as an incomplete body.
 */
function endIncomplete(response: ServerResponse, problem: Problem): void {
  const contentType = String(response.getHeader('content-type') ?? '');
  if (!contentType.startsWith('text/event-stream')) {
    response.destroy();
    return;
  }
  response.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
}
