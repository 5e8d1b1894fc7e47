import { encodedSize, type EncodedUpdate } from './codec.js';

interface Broadcast {
  readonly topic: string;
  readonly encode: () => EncodedUpdate;
  readonly bytes: number;
  readonly transmissions: () => number;
  sent: number;
}

/**
 * News waiting to be passed on. Each is sent a limited number of times, fewest sent first, as SWIM
 * does (section 4.1); a newer one on the same topic replaces the older.
 */
export class BroadcastQueue {
  readonly #items = new Map<string, Broadcast>();

  get size(): number {
    return this.#items.size;
  }

  /**
   * @param transmissions how often it is sent in all
   * @param encode called at each sending, so that ages in the update are current
   */
  add(topic: string, transmissions: () => number, encode: () => EncodedUpdate): void {
    this.#items.set(topic, { topic, encode, bytes: encodedSize(encode()), transmissions, sent: 0 });
  }

  /** The updates for one datagram of at most `byteLimit` bytes. */
  take(byteLimit: number): EncodedUpdate[] {
    if (this.#items.size === 0) return [];
    const ordered = [...this.#items.values()].sort((a, b) => a.sent - b.sent);
    const taken: EncodedUpdate[] = [];
    let bytes = 0;
    for (const item of ordered) {
      if (bytes + item.bytes > byteLimit) continue;
      bytes += item.bytes;
      taken.push(item.encode());
      item.sent += 1;
      if (item.sent >= item.transmissions()) this.#items.delete(item.topic);
    }
    return taken;
  }
}
