/** Sends and receives unreliable datagrams. Addresses have the form `IP:port`. */
export interface DatagramTransport {
  readonly localAddress: string;
  send(address: string, bytes: Uint8Array): void;
  /** Sets the function that receives datagrams. Called once per transport. */
  onMessage(receiver: (fromAddress: string, bytes: Uint8Array) => void): void;
  close(): void;
}
