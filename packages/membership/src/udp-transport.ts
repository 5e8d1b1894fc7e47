import { createHmac, timingSafeEqual } from 'node:crypto';
import { createSocket, type Socket, type SocketOptions } from 'node:dgram';
import { isIPv6, type AddressInfo } from 'node:net';
import {
  bindError,
  parseSocketAddress,
  splitSocketAddress,
  type BindError,
  type HostPort,
} from '@canvasridge/addresses';
import type { LimitedEvents } from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import type { DatagramTransport } from './datagram-transport.js';

/** Length of the truncated HMAC at the end of each datagram. */
const MAC_BYTES = 8;

/**
 * Sends and receives datagrams over UDP. Each datagram ends with the first 8 bytes of its HMAC-SHA256 under
 * the key shared by the nodes, so stray or forged datagrams are dropped before they are decoded.
 */
export class UdpTransport implements DatagramTransport {
  readonly localAddress: string;
  readonly #socket: Socket;
  readonly #key: string;
  readonly #events: LimitedEvents;
  #closed = false;

  private constructor(socket: Socket, key: string, events: LimitedEvents) {
    this.#socket = socket;
    this.#key = key;
    this.#events = events;
    const boundAddress = socket.address();
    this.localAddress = formatAddress(boundAddress);
  }

  /** Binds to `host:port`; with port 0, the operating system chooses a port. */
  static bind(
    { host, port }: HostPort,
    key: string,
    events: LimitedEvents,
  ): Promise<Result<UdpTransport, BindError>> {
    const family = isIPv6(host) ? 6 : 4;
    const lookup: SocketOptions['lookup'] = (address, _options, callback) => callback(null, address, family);
    const socket = createSocket({ type: `udp${family}`, lookup });
    return new Promise((resolve) => {
      socket.once('error', (cause) => {
        socket.close();
        resolve(err(bindError({ host, port }, cause)));
      });
      socket.bind(port, host, () => {
        socket.removeAllListeners('error');
        socket.on('error', () => undefined); // a failed send is a lost datagram, which the protocol tolerates
        resolve(ok(new UdpTransport(socket, key, events)));
      });
    });
  }

  /** A member may announce any text as its address: datagrams to one that is none are dropped. */
  send(text: string, bytes: Uint8Array): void {
    // Tasks that were running when the node stopped may still try to send.
    if (this.#closed) return;
    const address = parseSocketAddress(text);
    if (address === undefined) {
      this.#events.event('warn', 'membership.no-address', text, {});
      return;
    }
    const { host, port } = splitSocketAddress(address);
    this.#socket.send([bytes, this.#computeMac(bytes)], port, host, () => undefined);
  }

  onMessage(receiver: (fromAddress: string, bytes: Uint8Array) => void): void {
    this.#socket.on('message', (datagram, remote) => {
      const content = this.#verify(datagram);
      if (content !== undefined) receiver(formatAddress(remote), content);
    });
  }

  close(): void {
    this.#closed = true;
    this.#socket.close();
  }

  #computeMac(bytes: Uint8Array): Buffer {
    return createHmac('sha256', this.#key).update(bytes).digest().subarray(0, MAC_BYTES);
  }

  #verify(datagram: Buffer): Uint8Array | undefined {
    if (datagram.length <= MAC_BYTES) return undefined;
    const content = datagram.subarray(0, datagram.length - MAC_BYTES);
    const mac = datagram.subarray(datagram.length - MAC_BYTES);
    return timingSafeEqual(mac, this.#computeMac(content)) ? content : undefined;
  }
}

function formatAddress({ address, family, port }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}
