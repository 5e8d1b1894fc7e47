import { createHmac, timingSafeEqual } from 'node:crypto';

/** Where a stream can be picked up again, and who may. */
export interface StreamPlace {
  readonly engineId: string;
  readonly engineRequestId: string;
  readonly caller: string;
}

const MAC_BYTES = 12;

/**
 * Tokens by which a caller picks up a stream at any node. They are sealed with the key that nodes share,
 * and name the caller, so that nobody reads another's answer.
 */
export class StreamTokens {
  readonly #key: string;

  constructor(key: string) {
    this.#key = key;
  }

  issue(place: StreamPlace): string {
    const content = Buffer.from(JSON.stringify([place.engineId, place.engineRequestId, place.caller]));
    return `${content.toString('base64url')}.${this.#seal(content).toString('base64url')}`;
  }

  /** The place, or undefined for a token that is forged, damaged or another caller's. */
  open(token: string, caller: string): StreamPlace | undefined {
    const [contentText = '', sealText = ''] = token.split('.');
    const content = Buffer.from(contentText, 'base64url');
    const seal = Buffer.from(sealText, 'base64url');
    const expected = this.#seal(content);
    if (seal.length !== expected.length || !timingSafeEqual(seal, expected)) return undefined;
    const [engineId, engineRequestId, owner] = JSON.parse(content.toString('utf8')) as [
      string,
      string,
      string,
    ];
    return owner === caller ? { engineId, engineRequestId, caller } : undefined;
  }

  #seal(content: Uint8Array): Buffer {
    return createHmac('sha256', this.#key).update('stream').update(content).digest().subarray(0, MAC_BYTES);
  }
}
