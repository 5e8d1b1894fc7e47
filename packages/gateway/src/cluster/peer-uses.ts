import type { PeerConnection } from '../peers/peer-connection.js';

/** A request of another node that this node, as leader, has queued or granted. */
export interface PeerUse {
  readonly pool: string;
  readonly requestId: string;
}

/** What this node holds for others, by the connection over which they would report its end. */
export class PeerUses {
  readonly #byPeer = new Map<PeerConnection, Map<string, PeerUse>>();

  record(peer: PeerConnection, pool: string, requestId: string): void {
    const uses = this.#byPeer.get(peer) ?? new Map<string, PeerUse>();
    uses.set(requestId, { pool, requestId });
    this.#byPeer.set(peer, uses);
  }

  forget(peer: PeerConnection, requestId: string): void {
    this.#byPeer.get(peer)?.delete(requestId);
  }

  /**
   * Removes and returns everything held for a peer whose connection ended, since the peer can no longer
   * report when its requests end.
   */
  takeAll(peer: PeerConnection): readonly PeerUse[] {
    const uses = this.#byPeer.get(peer);
    this.#byPeer.delete(peer);
    return uses === undefined ? [] : [...uses.values()];
  }
}
