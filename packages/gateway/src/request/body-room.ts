/** Bodies up to this size always find room while there is any: few of them fill a node, and many callers send such. */
const SMALL_BYTES = 65_536;
/** Part of the room that larger bodies may take, so that they are shed before small ones. */
const LARGE_SHARE = 0.75;

/**
 * Room for the bodies of all requests that a node holds at a time: each is held whole until its request ends, as it may
 * have to be sent again. Beyond it requests are refused, those with large bodies first, since a process that goes over the
 * machine's memory ends with all that it serves.
 */
export class BodyRoom {
  readonly #mostBytes: number;
  #heldBytes = 0;

  constructor(mostBytes: number) {
    this.#mostBytes = mostBytes;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Takes room for a part of a body.
   * @param bodyBytes size of the whole body as far as it is known
   */
  take(bytes: number, bodyBytes: number): boolean {
    const mostBytes = bodyBytes > SMALL_BYTES ? this.#mostBytes * LARGE_SHARE : this.#mostBytes;
    if (this.#heldBytes + bytes > mostBytes) return false;
    this.#heldBytes += bytes;
    return true;
  }

  giveBack(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
