/** What a server answers to bytes that it can't read as a request. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** The request of a connection that is being served. */
export interface ServedRequest {
  readonly request: Pick<IncomingMessage, 'complete'>;
  readonly response: Pick<ServerResponse, 'headersSent'>;
}

const BAD_REQUEST = '400 Bad Request';
const STATUS_OF_CODE: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

/**
 * The response to write before the connection is closed; undefined for none. A client takes it for the answer to the
 * request being served, so there is none if that one has been read whole and may run.
 * @param code of the error of the HTTP server
 */
export function responseToUnreadable(code: string, served: ServedRequest | undefined): string | undefined {
  if (served !== undefined && (served.request.complete || served.response.headersSent)) return undefined;
  return `HTTP/1.1 ${STATUS_OF_CODE[code] ?? BAD_REQUEST}\r\nConnection: close\r\n\r\n`;
}

/** Whether the error says that something could not be read, as against a connection that has broken. */
export function isUnreadable(code: string): boolean {
  return code.startsWith('HPE_') || code === 'ERR_HTTP_REQUEST_TIMEOUT';
}
