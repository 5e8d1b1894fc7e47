/** Unreliable datagrams between nodes. Addresses are `IP:port`. */
export interface DatagramTransport {
  readonly localAddress: string;
  send(address: string, bytes: Uint8Array): void;
  /** Sets the receiver; there is one. */
  onMessage(receiver: (fromAddress: string, bytes: Uint8Array) => void): void;
  close(): void;
}
