/** Size of the headers of a request, as the configuration limits it. */
import type { IncomingMessage } from 'node:http';

/**
 * Whether the names and values of the header fields, or the request target by itself, have more bytes than allowed.
 * The signs between them are not counted.
 */
export function areHeadersTooLarge(
  { rawHeaders, url = '' }: Pick<IncomingMessage, 'rawHeaders' | 'url'>,
  maxBytes: number,
): boolean {
  // Node.js decodes each byte of a header to one character.
  let bytes = 0;
  for (const part of rawHeaders) bytes += part.length;
  return bytes > maxBytes || url.length > maxBytes;
}
