import type { SocketAddress } from '@canvasridge/addresses';

/** Calls methods of other nodes. */
export interface PeerCaller {
  to(address: SocketAddress): {
    /** Undefined if no answer came in time. */
    call(method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  };
}
