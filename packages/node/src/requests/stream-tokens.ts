import { createHmac, timingSafeEqual } from 'node:crypto';

/** The engine request whose stream can be resumed, and the caller that may do so. */
export interface StreamRef {
  readonly engineId: string;
  readonly engineRequestId: string;
  readonly caller: string;
}

/** Length to which the HMAC is truncated. */
const MAC_BYTES = 12;

/**
 * Issues and verifies the tokens with which a caller resumes a stream at any node. A token is authenticated
 * with an HMAC under the key shared by all nodes, and names the caller, so that no other caller can use it.
 */
export class StreamTokens {
  readonly #key: string;

  constructor(key: string) {
    this.#key = key;
  }

  issue(streamRef: StreamRef): string {
    const content = Buffer.from(
      JSON.stringify([streamRef.engineId, streamRef.engineRequestId, streamRef.caller]),
    );
    return `${content.toString('base64url')}.${this.#mac(content).toString('base64url')}`;
  }

  /** The stream of a token; undefined if the token is forged, damaged or issued to another caller. */
  verify(token: string, caller: string): StreamRef | undefined {
    const [contentText = '', macText = ''] = token.split('.');
    const content = Buffer.from(contentText, 'base64url');
    const mac = Buffer.from(macText, 'base64url');
    const expected = this.#mac(content);
    if (mac.length !== expected.length || !timingSafeEqual(mac, expected)) return undefined;
    const [engineId, engineRequestId, tokenCaller] = JSON.parse(content.toString('utf8')) as [
      string,
      string,
      string,
    ];
    return tokenCaller === caller ? { engineId, engineRequestId, caller } : undefined;
  }

  #mac(content: Uint8Array): Buffer {
    return createHmac('sha256', this.#key).update('stream').update(content).digest().subarray(0, MAC_BYTES);
  }
}
