/**
 * Headers that apply to a single connection (RFC 9110, section 7.6.1), and those that the HTTP client sets
 * itself.
 */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** Whether a header is forwarded. `named` are the header names that a Connection header lists. */
export function isEndToEndHeader(lowerName: string, named: ReadonlySet<string>): boolean {
  return !HOP_BY_HOP_HEADERS.has(lowerName) && !named.has(lowerName);
}

/** Header names that the Connection headers of a message list, in lower case. */
export function connectionHeaderNames(connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined) return NO_NAMES;
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

const NO_NAMES: ReadonlySet<string> = new Set();
