/** Headers that belong to one connection only (RFC 9110, section 7.6.1), and what the client library sets. */
const CONNECTION_HEADERS = new Set([
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

/** Whether a header passes on to the other side. `named` are names that a Connection header lists. */
export function passesOn(lowerName: string, named: ReadonlySet<string>): boolean {
  return !CONNECTION_HEADERS.has(lowerName) && !named.has(lowerName);
}

/** Lower-case names that the Connection headers of a message list. */
export function connectionNames(connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined) return NO_NAMES;
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

const NO_NAMES: ReadonlySet<string> = new Set();
