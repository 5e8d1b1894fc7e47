import { encodedSize, type EncodedUpdate } from './codec.js';

interface Broadcast {
  readonly topic: string;
  readonly encode: () => EncodedUpdate;
  readonly bytes: number;
  readonly transmissions: () => number;
  sent: number;
}

/**
 * Updates waiting to be gossiped. Each is sent a limited number of times, those sent least often first, as in
 * SWIM (section 4.1). A newer update on a topic replaces the older one.
 */
export class BroadcastQueue {
  readonly #items = new Map<string, Broadcast>();

  get size(): number {
    return this.#items.size;
  }

  /**
   * Queues an update.
   * @param transmissions returns how many times the update is sent in total
   * @param encode called for each transmission, so that ages in the update are current
   */
  add(topic: string, transmissions: () => number, encode: () => EncodedUpdate): void {
    this.#items.set(topic, { topic, encode, bytes: encodedSize(encode()), transmissions, sent: 0 });
  }

  /** Returns updates of at most `byteLimit` bytes for one datagram, and counts one transmission of each. */
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
