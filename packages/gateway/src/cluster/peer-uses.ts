import type { PeerConnection } from '../peers/peer-connection.js';

/** A request of another node that this node, as leader, has queued or granted. */
export interface PeerUse {
  readonly pool: string;
  readonly requestId: string;
}

/** A use, and the memory that this node takes for it. */
interface HeldUse extends PeerUse {
  readonly heldBytes: number;
}

/** Memory of a use beside its texts. */
const USE_OVERHEAD_BYTES = 512;
/** A text is kept in the pool and here. */
const TEXT_COPIES = 2;

/** What this node holds for others, by the connection over which they would report its end. */
export class PeerUses {
  readonly #byPeer = new Map<PeerConnection, Map<string, HeldUse>>();
  readonly #heldBytes = new Map<PeerConnection, number>();
  readonly #onHeld: (peer: PeerConnection, bytes: number) => void;

  /** @param onHeld called with the memory of all uses of a peer when it has changed */
  constructor(onHeld: (peer: PeerConnection, bytes: number) => void = () => undefined) {
    this.#onHeld = onHeld;
  }

  /** @param textLength length of what the peer sent about the use */
  record(peer: PeerConnection, { pool, requestId }: PeerUse, textLength: number): void {
    const uses = this.#byPeer.get(peer) ?? new Map<string, HeldUse>();
    const heldBytes = USE_OVERHEAD_BYTES + TEXT_COPIES * textLength;
    const changeBytes = heldBytes - (uses.get(requestId)?.heldBytes ?? 0);
    uses.set(requestId, { pool, requestId, heldBytes });
    this.#byPeer.set(peer, uses);
    this.#change(peer, changeBytes);
  }

  forget(peer: PeerConnection, requestId: string): void {
    const uses = this.#byPeer.get(peer);
    const use = uses?.get(requestId);
    if (uses === undefined || use === undefined) return;
    uses.delete(requestId);
    this.#change(peer, -use.heldBytes);
  }

  /**
   * Removes and returns everything held for a peer whose connection ended, since the peer can no longer
   * report when its requests end.
   */
  takeAll(peer: PeerConnection): readonly PeerUse[] {
    const uses = this.#byPeer.get(peer);
    this.#byPeer.delete(peer);
    this.#heldBytes.delete(peer);
    return uses === undefined ? [] : [...uses.values()].map(({ pool, requestId }) => ({ pool, requestId }));
  }

  #change(peer: PeerConnection, bytes: number): void {
    const heldBytes = (this.#heldBytes.get(peer) ?? 0) + bytes;
    this.#heldBytes.set(peer, heldBytes);
    this.#onHeld(peer, heldBytes);
  }
}
