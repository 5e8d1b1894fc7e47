import type { ServerResponse } from 'node:http';
import type { ResponseHeaders } from './dialect.js';
import { connectionHeaderNames, isEndToEndHeader } from './hop-headers.js';

/**
 * Writes the response to the client of one request: it is started once and then either completed or aborted.
 */
export class ResponseSink {
  readonly #response: ServerResponse;
  readonly #shouldClose: () => boolean;
  #firstByteMs: number | undefined;

  /** @param shouldClose whether the response asks the client to close its connection */
  constructor(response: ServerResponse, shouldClose: () => boolean) {
    this.#response = response;
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
    return this.#response.write(chunk);
  }

  end(chunk?: Buffer): void {
    this.#response.end(chunk);
  }

  /** Closes the connection within the response, so that the client can't take it for a complete one. */
  abort(): void {
    this.#response.destroy();
  }

  onDrain(callback: () => void): void {
    this.#response.once('drain', callback);
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
