/** What errors of the HTTP client say about a request and its response. */
import { errors } from 'undici';

/** Where the parser ended with the connection. */
const ENDED_WITHIN_RESPONSE = 'HPE_INVALID_EOF_STATE';
const BAD_RESPONSES: ReadonlySet<string> = new Set(['bad response', 'bad upgrade']);
/** Codes of requests that the HTTP client refuses to write. */
const REFUSED_REQUESTS: ReadonlySet<string> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED']);

/** Whether what was received is no valid response, as against a connection that ended. */
export function isBadAnswer(error: Error): boolean {
  if (error instanceof errors.HTTPParserError) return codeOf(error) !== ENDED_WITHIN_RESPONSE;
  if (error instanceof errors.SocketError) return BAD_RESPONSES.has(error.message);
  return error instanceof errors.HeadersOverflowError || codeOf(error) === 'ERR_ASSERTION';
}

/** Whether the request was not written, as its method, path or headers are not valid. */
export function isRefusedRequest(error: Error): boolean {
  return REFUSED_REQUESTS.has(codeOf(error));
}

function codeOf(error: Error): string {
  const { code } = error as NodeJS.ErrnoException;
  return code ?? '';
}
