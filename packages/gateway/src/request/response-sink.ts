import type { ServerResponse } from 'node:http';
import type { ResponseHeaders } from './dialect.js';
import { connectionHeaderNames, isEndToEndHeader } from './hop-headers.js';
import type { ResponseMemory } from './response-memory-budget.js';
import { ResponseWriter } from './response-writer.js';

/**
 * Writes the response to the client of one request: it is started once and then either completed or aborted.
 */
export class ResponseSink {
  readonly #response: ServerResponse;
  readonly #memory: ResponseMemory;
  readonly #writer: ResponseWriter;
  readonly #shouldClose: () => boolean;
  #firstByteMs: number | undefined;
  #failureBytes = 0;

  /**
   * @param memory of this response, released when the response is closed
   * @param shouldClose whether the response asks the client to close its connection
   */
  constructor(response: ServerResponse, memory: ResponseMemory, shouldClose: () => boolean) {
    this.#response = response;
    this.#memory = memory;
    this.#writer = new ResponseWriter(response, memory);
    this.#shouldClose = shouldClose;
  }

  get started(): boolean {
    return this.#response.headersSent;
  }

  /** When the status line was written, by `performance.now()`; undefined before that. */
  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /**
   * Forwards the status and headers of a backend's response. `bodyLength` is undefined if it is not known
   * yet.
   */
  start(status: number, headers: ResponseHeaders, bodyLength: number | undefined): void {
    const response = this.#response;
    const connectionOptions = connectionHeaderNames(joinedValue(headers['connection']));
    for (const name in headers) {
      const value = headers[name];
      if (value !== undefined && isEndToEndHeader(name, connectionOptions)) response.setHeader(name, value);
    }
    if (bodyLength !== undefined) response.setHeader('content-length', bodyLength);
    this.#writeHead(status);
  }

  /** Sends a plain-text response of the gateway itself. */
  sendText(status: number, headers: Readonly<Record<string, string>>, text: string): void {
    const response = this.#response;
    if (response.headersSent || response.destroyed) return;
    // Removes headers of a backend's response that could not be forwarded: they say nothing about this
    // one.
    for (const name of response.getHeaderNames()) response.removeHeader(name);
    for (const name in headers) response.setHeader(name, headers[name] ?? '');
    response.setHeader('content-type', 'text/plain');
    response.setHeader('content-length', Buffer.byteLength(text));
    this.#writeHead(status);
    response.end(text);
  }

  /** Returns false if the caller should wait for `onDrain` before it writes more. */
  write(chunk: Buffer): boolean {
    return this.#writer.write(chunk);
  }

  /** Ends the response with the rest of its body. */
  end(pieces: readonly Buffer[] = []): void {
    for (const piece of pieces.slice(0, -1)) this.#writer.write(piece);
    this.#writer.end(pieces.at(-1));
  }

  /** Closes the connection within the response, so that the client can't take it for a complete one. */
  abort(): void {
    this.#response.destroy();
  }

  onDrain(callback: () => void): void {
    this.#writer.onDrain(callback);
  }

  /**
   * Sets what is kept of the response before it is written, in bytes; returns whether all responses together stay
   * within their memory.
   */
  keep(bytes: number): boolean {
    return this.#memory.keep(this.#failureBytes + bytes);
  }

  /** Sets the size of an error response that is kept beside an attempt, in bytes. */
  keepFailure(bytes: number): void {
    this.#failureBytes = bytes;
    this.#memory.keep(bytes);
  }

  #writeHead(status: number): void {
    if (this.#shouldClose()) this.#response.setHeader('connection', 'close');
    this.#firstByteMs = performance.now();
    this.#response.writeHead(status);
  }
}

function joinedValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(',') : value;
}
