import { HostClock, type Clock, type Random } from '@canvasridge/clock';

/** Delay and loss of the simulated network. */
export interface NetworkBehaviour {
  /** Minimum one-way delay, in milliseconds; up to half of it is added at random to each message. */
  latencyMs: number;
  /** Fraction of datagrams that are lost. */
  datagramLoss: number;
  /** Fraction of datagrams that are delivered twice. */
  datagramDuplication: number;
}

/** A process in the network, with its own clock. */
export interface Host {
  readonly name: string;
  readonly clock: HostClock;
}

/** Time from sending over a cut link until the connection breaks, in milliseconds. */
const CUT_DETECTION_MS = 800;

/** Simulated network: hosts, links that can be cut in each direction, datagrams and ordered connections. */
export class SimulatedNetwork {
  readonly behaviour: NetworkBehaviour;
  readonly clock: Clock;
  readonly random: Random;
  readonly #cuts = new Map<string, number>();
  readonly #connections = new Set<Connection>();

  constructor(clock: Clock, random: Random, behaviour: NetworkBehaviour) {
    this.clock = clock;
    this.random = random;
    this.behaviour = behaviour;
  }

  /** @param rate speed of the host's clock relative to virtual time */
  createHost(name: string, rate = 1): Host {
    return { name, clock: new HostClock(this.clock, rate) };
  }

  /** Cuts the link in one direction. Cuts are counted: each needs its own `heal`. */
  cut(from: string, to: string): void {
    const link = `${from}>${to}`;
    this.#cuts.set(link, (this.#cuts.get(link) ?? 0) + 1);
  }

  heal(from: string, to: string): void {
    const link = `${from}>${to}`;
    const remaining = (this.#cuts.get(link) ?? 0) - 1;
    if (remaining > 0) this.#cuts.set(link, remaining);
    else this.#cuts.delete(link);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.size > 0 && this.#cuts.has(`${from}>${to}`);
  }

  delayMs(): number {
    return this.behaviour.latencyMs * (1 + this.random.next() / 2);
  }

  /** Sends a datagram, which may be lost, duplicated or reordered. */
  sendDatagram(from: Host, to: Host, action: () => void): void {
    if (from.clock.stopped || this.isCut(from.name, to.name)) return;
    if (this.random.next() < this.behaviour.datagramLoss) return;
    const copies = this.random.next() < this.behaviour.datagramDuplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.clock.setTimer(this.delayMs(), () => to.clock.deliver(action));
    }
  }

  /**
   * Opens a connection; returns undefined if the server is stopped or the link is cut in either direction.
   */
  connect(client: Host, server: Host): Connection | undefined {
    if (server.clock.stopped) return undefined;
    if (this.isCut(client.name, server.name) || this.isCut(server.name, client.name)) return undefined;
    const connection = new Connection(this, client, server);
    this.#connections.add(connection);
    return connection;
  }

  /** Breaks all connections of a host whose process ended. */
  breakConnectionsOf(host: Host): void {
    for (const connection of this.#connections) if (connection.involves(host)) connection.break();
  }

  remove(connection: Connection): void {
    this.#connections.delete(connection);
  }

  /** Time from sending over a cut link until the connection breaks, in milliseconds. */
  get cutDetectionMs(): number {
    return CUT_DETECTION_MS;
  }
}

/** A reliable, ordered connection between two hosts, until it breaks. */
export class Connection {
  readonly client: Host;
  readonly server: Host;
  /** Called once on the client when the connection breaks. */
  onClientBreak: (() => void) | undefined;
  /** Called once on the server when the connection breaks. */
  onServerBreak: (() => void) | undefined;
  readonly #network: SimulatedNetwork;
  #open = true;
  /** A cut link dropped a message, so nothing after it may arrive. */
  #stalled = false;
  #serverDueMs = 0;
  #clientDueMs = 0;

  constructor(network: SimulatedNetwork, client: Host, server: Host) {
    this.#network = network;
    this.client = client;
    this.server = server;
  }

  involves(host: Host): boolean {
    return host === this.client || host === this.server;
  }

  /**
   * Runs `action` on the server after the delay and in order; over a cut link, breaks the connection instead.
   */
  toServer(action: () => void): void {
    const { clock } = this.#network;
    const dueMs = Math.max(clock.now() + this.#network.delayMs(), this.#serverDueMs);
    this.#serverDueMs = dueMs;
    this.#send(this.client, this.server, dueMs - clock.now(), action);
  }

  /** Like `toServer`, from the server to the client. */
  toClient(action: () => void): void {
    const { clock } = this.#network;
    const dueMs = Math.max(clock.now() + this.#network.delayMs(), this.#clientDueMs);
    this.#clientDueMs = dueMs;
    this.#send(this.server, this.client, dueMs - clock.now(), action);
  }

  /** Closes the connection without notifying either side. */
  close(): void {
    this.#open = false;
    this.#network.remove(this);
  }

  /** Breaks the connection and notifies both sides. */
  break(): void {
    if (!this.#open) return;
    this.close();
    const { clock } = this.#network;
    const delayMs = this.#network.delayMs();
    clock.setTimer(delayMs, () => this.client.clock.deliver(() => this.onClientBreak?.()));
    clock.setTimer(delayMs, () => this.server.clock.deliver(() => this.onServerBreak?.()));
  }

  #send(from: Host, to: Host, delayMs: number, action: () => void): void {
    if (!this.#open || this.#stalled) return;
    const { clock } = this.#network;
    if (this.#network.isCut(from.name, to.name)) {
      this.#stalled = true;
      clock.setTimer(this.#network.cutDetectionMs, () => this.break());
      return;
    }
    clock.setTimer(delayMs, () => {
      if (this.#open) to.clock.deliver(() => this.#deliver(action));
    });
  }

  #deliver(action: () => void): void {
    if (this.#open) action();
  }
}
