import { HostClock, type Clock, type Random } from '@canvasridge/clock';

/** Behaviour of the simulated network. */
export interface NetworkBehaviour {
  /** One-way delay between hosts, in milliseconds; each message takes up to half as long again. */
  latencyMs: number;
  /** Share of datagrams lost. */
  datagramLoss: number;
  /** Share of datagrams delivered twice. */
  datagramDuplication: number;
}

/** A host: a process with a clock and a place in the network. */
export interface Host {
  readonly name: string;
  readonly clock: HostClock;
}

/** Time after which a connection over a cut link is noticed as broken, in milliseconds. */
const CUT_NOTICE_MS = 800;

/** Hosts, links that can be cut one way, and connections that keep order. */
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

  newHost(name: string, rate = 1): Host {
    return { name, clock: new HostClock(this.clock, rate) };
  }

  /** Cuts the link in one direction. Cuts add up; each needs its own `heal`. */
  cut(from: string, to: string): void {
    const link = `${from}>${to}`;
    this.#cuts.set(link, (this.#cuts.get(link) ?? 0) + 1);
  }

  heal(from: string, to: string): void {
    const link = `${from}>${to}`;
    const left = (this.#cuts.get(link) ?? 0) - 1;
    if (left > 0) this.#cuts.set(link, left);
    else this.#cuts.delete(link);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.size > 0 && this.#cuts.has(`${from}>${to}`);
  }

  delayMs(): number {
    return this.behaviour.latencyMs * (1 + this.random.next() / 2);
  }

  /** Sends a datagram: it may be lost, doubled or overtaken. */
  datagram(from: Host, to: Host, action: () => void): void {
    if (from.clock.stopped || this.isCut(from.name, to.name)) return;
    if (this.random.next() < this.behaviour.datagramLoss) return;
    const copies = this.random.next() < this.behaviour.datagramDuplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.clock.setTimer(this.delayMs(), () => to.clock.deliver(action));
    }
  }

  /** Opens a connection; undefined when the server's process does not run or a link is cut. */
  connect(client: Host, server: Host): Connection | undefined {
    if (server.clock.stopped) return undefined;
    if (this.isCut(client.name, server.name) || this.isCut(server.name, client.name)) return undefined;
    const connection = new Connection(this, client, server);
    this.#connections.add(connection);
    return connection;
  }

  /** The host's process ended: its connections break at the other side. */
  hostStopped(host: Host): void {
    for (const connection of this.#connections) if (connection.involves(host)) connection.break();
  }

  forget(connection: Connection): void {
    this.#connections.delete(connection);
  }

  /** When a cut link is noticed, in milliseconds. */
  get cutNoticeMs(): number {
    return CUT_NOTICE_MS;
  }
}

/** A reliable, ordered connection between two hosts, until it breaks. */
export class Connection {
  readonly client: Host;
  readonly server: Host;
  /** Called once at the client when the connection breaks, at the server likewise. */
  onClientBreak: (() => void) | undefined;
  onServerBreak: (() => void) | undefined;
  readonly #network: SimulatedNetwork;
  #open = true;
  /** A message was dropped by a cut link: nothing after it may arrive. */
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

  /** Runs `action` at the server after the delay, in order; a cut link breaks the connection instead. */
  toServer(action: () => void): void {
    const { clock } = this.#network;
    const dueMs = Math.max(clock.now() + this.#network.delayMs(), this.#serverDueMs);
    this.#serverDueMs = dueMs;
    this.#send(this.client, this.server, dueMs - clock.now(), action);
  }

  toClient(action: () => void): void {
    const { clock } = this.#network;
    const dueMs = Math.max(clock.now() + this.#network.delayMs(), this.#clientDueMs);
    this.#clientDueMs = dueMs;
    this.#send(this.server, this.client, dueMs - clock.now(), action);
  }

  /** Ends the connection without a notice to either side. */
  close(): void {
    this.#open = false;
    this.#network.forget(this);
  }

  /** Breaks the connection: both sides hear of it. */
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
      clock.setTimer(this.#network.cutNoticeMs, () => this.break());
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
