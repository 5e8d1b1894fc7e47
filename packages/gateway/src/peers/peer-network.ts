import { connect, createServer, type Server, type Socket } from 'node:net';
import {
  listen,
  logServerErrors,
  splitSocketAddress,
  type BindError,
  type HostPort,
  type SocketAddress,
} from '@canvasridge/addresses';
import { SystemClock, type Timer } from '@canvasridge/clock';
import { LimitedEvents, type Telemetry } from '@canvasridge/telemetry';
import type { Result } from 'neverthrow';
import { HeldBytes } from './held-bytes.js';
import { IncomingConnections } from './incoming-connections.js';
import { DEFAULT_PEER_LIMITS, type PeerLimits } from './peer-limits.js';
import { PeerConnection, type PeerMethods } from './peer-connection.js';
import { PeerTraffic } from './peer-traffic.js';

const CONNECT_TIMEOUT_MS = 400;
const KEEP_ALIVE_PROBE_MS = 1000;
/** A node whose connection ends loses what it holds here, so that its machine may be silent for longer. */
const INCOMING_KEEP_ALIVE_PROBE_MS = 60_000;
const OVERDUE_CHECK_MS = 1000;
/** Its late timers run after it is known whether the connection was accepted meanwhile. */
const CLOCK = new SystemClock();

/** First byte of a JSON-RPC message; a request to relay starts with the name of an HTTP method. */
const JSON_START = '{'.charCodeAt(0);

/**
 * Longest call of a peer, where anybody can connect: a JSON text takes up to 30 times its length once it is parsed. The
 * longest honest ones report some thousand runs or crashes with some hundred bytes each.
 */
const MAX_CALL_LINE_BYTES = 1024 * 1024;

/** Accepts connections of peers, and keeps one outgoing connection to each peer that is called. */
export class PeerNetwork {
  readonly #methods: PeerMethods;
  readonly #outgoing = new Map<SocketAddress, PeerConnection>();
  readonly #incoming: IncomingConnections<Socket>;
  /** Those of them on which peers call methods. */
  readonly #callers = new Map<Socket, PeerConnection>();
  readonly #readMs: number;
  /** Runs while there are incoming connections. */
  #overdueCheck: Timer | undefined;
  /** Memory of what was received on incoming connections and is not done with. */
  readonly #received: HeldBytes<Socket>;
  /** Memory of what was written to incoming connections and is not read. */
  readonly #unread: HeldBytes<Socket>;
  /** Memory of slots that peers other than members wait for or use. */
  readonly #uses: HeldBytes<Socket>;
  readonly #isTrusted: (socket: Socket) => boolean;
  /** Counts what is sent to all peers together. */
  readonly traffic = new PeerTraffic();
  readonly #onClose: (peer: PeerConnection) => void;
  readonly #onRefused: (address: string) => void;
  readonly #onHttp: (socket: Socket) => void;
  readonly #events: LimitedEvents;
  readonly #server: Server;

  /**
   * @param onClose called when a connection that a peer opened has ended
   * @param onRefused called with the address of a peer where nothing listens
   * @param onHttp called with a connection on which a peer speaks HTTP
   * @param telemetry for errors of methods, and messages that can't be read
   * @param server that accepts the connections of peers; it may listen already
   * @param limits of what incoming connections take
   * @param isMember whether a node of the fleet is at this IP address; others give way before it
   */
  constructor(
    methods: PeerMethods,
    onClose: (peer: PeerConnection) => void,
    onRefused: (address: string) => void,
    onHttp: (socket: Socket) => void,
    telemetry: Pick<Telemetry, 'event'>,
    server: Server = createServer(),
    limits: PeerLimits = DEFAULT_PEER_LIMITS,
    isMember: (host: string) => boolean = () => false,
  ) {
    const isTrusted = ({ remoteAddress }: Socket): boolean => isMember(remoteAddress ?? '');
    this.#readMs = limits.readMs;
    this.#incoming = new IncomingConnections({ ...limits, isMember: isTrusted });
    this.#received = new HeldBytes(limits.receivedBytes, isTrusted);
    this.#unread = new HeldBytes(limits.unreadBytes, isTrusted);
    this.#uses = new HeldBytes(limits.usesBytes, isTrusted);
    this.#isTrusted = isTrusted;
    this.#server = server.on('connection', (socket: Socket) => this.#accept(socket));
    this.#events = new LimitedEvents(telemetry, CLOCK);
    this.#onHttp = onHttp;
    this.#onRefused = onRefused;
    this.#methods = methods;
    this.#onClose = onClose;
  }

  /** Resolves to the port. It may be called again after an error. */
  async listen(address: HostPort): Promise<Result<number, BindError>> {
    const bound = await listen(this.#server, address, logServerErrors(this.#events, 'listen.peers'));
    return bound.map(({ port }) => port);
  }

  /** The connection to a peer, opened if there is none. */
  to(address: SocketAddress): PeerConnection {
    const known = this.#outgoing.get(address);
    if (known !== undefined && !known.closed) return known;
    const socket = connect({
      ...splitSocketAddress(address),
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    const timer = CLOCK.setTimer(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.once('connect', () => timer.cancel());
    socket.once('close', () => timer.cancel());
    socket.once('error', (cause: NodeJS.ErrnoException) => {
      if (cause.code === 'ECONNREFUSED') this.#onRefused(address);
    });
    const connection = new PeerConnection(socket, this.#methods, this.traffic, this.#events, () => {
      if (this.#outgoing.get(address) === connection) this.#outgoing.delete(address);
    });
    this.#outgoing.set(address, connection);
    return connection;
  }

  /** Whether the outgoing connection to a peer is open and received something within this time. */
  receivedWithin(address: SocketAddress, spanMs: number): boolean {
    const connection = this.#outgoing.get(address);
    return connection !== undefined && !connection.closed && connection.silentMs <= spanMs;
  }

  /** Drops the connection to a peer that does not respond. */
  drop(address: SocketAddress): void {
    this.#outgoing.get(address)?.close();
  }

  close(): void {
    this.#server.close();
    for (const connection of this.#outgoing.values()) connection.close();
    for (const socket of this.#incoming) socket.destroy();
    this.#overdueCheck?.cancel();
    this.#overdueCheck = undefined;
  }

  #accept(socket: Socket): void {
    const tooMany = this.#incoming.add(socket, CLOCK.now());
    socket.once('close', () => {
      this.#incoming.remove(socket);
      this.#received.remove(socket);
      this.#unread.remove(socket);
      this.#uses.remove(socket);
      this.#callers.delete(socket);
    });
    socket.on('error', () => undefined);
    socket.setKeepAlive(true, INCOMING_KEEP_ALIVE_PROBE_MS);
    socket.once('data', (first: Buffer) => {
      this.#incoming.heard(socket);
      socket.pause();
      socket.unshift(first);
      if (first[0] === JSON_START) this.#acceptRpc(socket);
      else this.#onHttp(socket);
      process.nextTick(() => socket.resume());
    });
    if (tooMany !== undefined) this.#giveWay('connections', [tooMany]);
    this.#overdueCheck ??= CLOCK.setTimer(OVERDUE_CHECK_MS, () => this.#checkOverdue());
  }

  #checkOverdue(): void {
    this.#giveWay('silent', this.#incoming.takeOverdue(CLOCK.now()));
    const notReading = [...this.#callers].filter(([, { unreadMs }]) => unreadMs > this.#readMs);
    this.#giveWay(
      'not-reading',
      notReading.map(([socket]) => socket),
    );
    this.#overdueCheck =
      this.#incoming.size === 0 ? undefined : CLOCK.setTimer(OVERDUE_CHECK_MS, () => this.#checkOverdue());
  }

  /** Closes connections that have to give way to others. */
  #giveWay(reason: string, sockets: readonly Socket[]): void {
    for (const socket of sockets) {
      const from = socket.remoteAddress;
      this.#events.event('warn', 'peer.gave-way', reason, { from, incoming: this.#incoming.size });
      socket.destroy();
    }
  }

  #acceptRpc(socket: Socket): void {
    const connection = new PeerConnection(
      socket,
      this.#methods,
      this.traffic,
      this.#events,
      () => this.#onClose(connection),
      {
        maxLineBytes: MAX_CALL_LINE_BYTES,
        onReceivedHeld: (bytes) => this.#giveWay('received', this.#received.set(socket, bytes)),
        onUnreadHeld: (bytes) => this.#giveWay('unread', this.#unread.set(socket, bytes)),
        // Members queue as much as their clients send: their connections are never closed for it.
        onUsesHeld: (bytes) =>
          this.#giveWay('uses', this.#uses.set(socket, this.#isTrusted(socket) ? 0 : bytes)),
      },
    );
    this.#callers.set(socket, connection);
  }
}
