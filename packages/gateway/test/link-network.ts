import type { VirtualClock } from '@canvasridge/clock';
import type { PeerCaller, WaitingBytes } from '../src/index.js';
import { idAt } from './peer-addresses.js';

/** One-way delay between two machines, in milliseconds. */
const DELAY_MS = 1;

/** A machine's methods, by name. */
export type LinkMethods = Readonly<Record<string, (params: unknown, waiting: WaitingBytes) => unknown>>;

interface Machine {
  readonly bytesPerMs: number;
  readonly methods: LinkMethods;
  /**
   * When everything written so far will have left the machine, and when everything sent to it so far will
   * have arrived.
   */
  sentMs: number;
  receivedMs: number;
  waitingBytes: number;
  maxWaitingBytes: number;
  sentBytes: number;
  alive: boolean;
}

/**
 * Calls between machines whose links have a limited bandwidth in each direction, in virtual time. What is
 * written waits at its sender until the links have carried it, and is sent even if nobody waits for it any
 * more.
 */
export class LinkNetwork {
  readonly #clock: VirtualClock;
  readonly #machines = new Map<string, Machine>();
  /** Bytes that wait to be sent, by sender and receiver. */
  readonly #waiting = new Map<string, number>();

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  add(address: string, mbitPerSecond: number, methods: LinkMethods): void {
    const bytesPerMs = (mbitPerSecond * 1_000_000) / 8 / 1000;
    const idle = {
      sentMs: 0,
      receivedMs: 0,
      waitingBytes: 0,
      maxWaitingBytes: 0,
      sentBytes: 0,
      alive: true,
    };
    this.#machines.set(address, { bytesPerMs, methods, ...idle });
  }

  /** From now on a machine sends nothing, and nothing reaches it. */
  silence(address: string): void {
    this.#get(address).alive = false;
  }

  /** Bytes that a machine has sent. */
  sentBytes(address: string): number {
    return this.#get(address).sentBytes;
  }

  /** Largest number of bytes that waited at a machine to be sent. */
  maxWaitingBytes(address: string): number {
    return this.#get(address).maxWaitingBytes;
  }

  /** The caller for calls from a machine. */
  callsOf(from: string): PeerCaller {
    return {
      to: (address) => ({
        call: (method, params, timeoutMs) =>
          new Promise((resolve) => {
            const id = idAt(address);
            this.#clock.setTimer(timeoutMs, () => resolve(undefined));
            this.#send(from, id, { method, params }, () => {
              const answer = this.#get(id).methods[method]?.(params, this.#waitingAt(id, from));
              this.#send(id, from, { answer }, (message) => resolve((message as { answer: unknown }).answer));
            });
          }),
      }),
    };
  }

  #send(from: string, to: string, message: unknown, deliver: (message: unknown) => void): void {
    const sender = this.#get(from);
    const receiver = this.#get(to);
    if (!sender.alive || !receiver.alive) return;
    const text = JSON.stringify(message);
    const nowMs = this.#clock.now();
    sender.sentMs = Math.max(nowMs, sender.sentMs) + text.length / sender.bytesPerMs;
    const arrivedMs = Math.max(nowMs, receiver.receivedMs) + text.length / receiver.bytesPerMs;
    receiver.receivedMs = Math.max(arrivedMs, sender.sentMs) + DELAY_MS;
    sender.sentBytes += text.length;
    this.#changeWaiting(from, to, text.length);
    this.#clock.setTimer(receiver.receivedMs - nowMs, () => {
      this.#changeWaiting(from, to, -text.length);
      if (receiver.alive) deliver(JSON.parse(text));
    });
  }

  #changeWaiting(from: string, to: string, bytes: number): void {
    const sender = this.#get(from);
    sender.waitingBytes += bytes;
    sender.maxWaitingBytes = Math.max(sender.maxWaitingBytes, sender.waitingBytes);
    this.#waiting.set(`${from} ${to}`, this.#waitingFor(from, to) + bytes);
  }

  #waitingAt(from: string, to: string): WaitingBytes {
    return { forPeer: this.#waitingFor(from, to), forAll: this.#get(from).waitingBytes };
  }

  #waitingFor(from: string, to: string): number {
    return this.#waiting.get(`${from} ${to}`) ?? 0;
  }

  #get(address: string): Machine {
    const machine = this.#machines.get(address);
    if (machine === undefined) throw new Error(`no machine at ${address}`);
    return machine;
  }
}
