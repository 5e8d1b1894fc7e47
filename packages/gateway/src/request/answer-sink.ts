import type { ServerResponse } from 'node:http';
import type { AnswerHeaders } from './dialect.js';
import { connectionNames, passesOn } from './hop-headers.js';

/** The client's side of one request: its answer is started once and ends whole or broken. */
export class AnswerSink {
  readonly #response: ServerResponse;
  readonly #closing: () => boolean;
  #firstByteMs: number | undefined;

  /** @param closing whether the client is asked to close its connection after this answer */
  constructor(response: ServerResponse, closing: () => boolean) {
    this.#response = response;
    this.#closing = closing;
  }

  get started(): boolean {
    return this.#response.headersSent;
  }

  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /** Passes the head of a backend's answer on. `bodyLength` is undefined while it is not known. */
  start(status: number, headers: AnswerHeaders, bodyLength: number | undefined): void {
    const response = this.#response;
    const named = connectionNames(first(headers['connection']));
    for (const name in headers) {
      const value = headers[name];
      if (value !== undefined && passesOn(name, named)) response.setHeader(name, value);
    }
    if (bodyLength !== undefined) response.setHeader('content-length', bodyLength);
    this.#writeHead(status);
  }

  /** Answers with a text of the gateway's own. */
  answer(status: number, headers: Readonly<Record<string, string>>, text: string): void {
    const response = this.#response;
    if (response.headersSent || response.destroyed) return;
    // A head of a backend's answer that could not be passed on says nothing of this one.
    for (const name of response.getHeaderNames()) response.removeHeader(name);
    for (const name in headers) response.setHeader(name, headers[name] ?? '');
    response.setHeader('content-type', 'text/plain');
    response.setHeader('content-length', Buffer.byteLength(text));
    this.#writeHead(status);
    response.end(text);
  }

  /** Returns whether more can be written at once. */
  write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  end(chunk?: Buffer): void {
    this.#response.end(chunk);
  }

  /** Breaks the answer off, so that it can't be taken for a whole one. */
  breakOff(): void {
    this.#response.destroy();
  }

  onDrain(callback: () => void): void {
    this.#response.once('drain', callback);
  }

  #writeHead(status: number): void {
    if (this.#closing()) this.#response.setHeader('connection', 'close');
    this.#firstByteMs = performance.now();
    this.#response.writeHead(status);
  }
}

function first(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(',') : value;
}
