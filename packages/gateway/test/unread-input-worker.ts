import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';
import { SystemClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import { FleetState } from '@canvasridge/serving';
import { PeerNetwork } from '../src/peers/peer-network.js';
import { FOLLOW_METHOD, StateFollower, type FollowRequest } from '../src/cluster/state-follower.js';
import { NOTHING_WAITS, followerOptions } from './follower-options.js';
import { HOST, SERVICE, configuration } from './harness.js';
import { RawBackend, success } from './raw-backend.js';
import {
  READER_ID,
  RELEASED,
  type Arrival,
  type OutsideSetup,
  type OutsideStep,
  type UnreadOutcome,
} from './unread-input-messages.js';

const LOOPBACK = '127.0.0.1';
const DRAIN_MS = 3000;
/** Enough nodes that a few read the store for the others. */
const NODES = 40;
const BACKEND_ID = 'i1';
const WARM = 'warm';
const HELD = 'held';
const UNREAD = 'unread';

/** A client's connection, on which it sends one request at a time. */
class ClientConnection {
  readonly #socket: Socket;
  #received = '';

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', (bytes: Buffer) => (this.#received += bytes.toString('latin1')));
    socket.on('error', () => undefined);
  }

  static async open(port: number): Promise<ClientConnection> {
    const socket = connect({ host: LOOPBACK, port, noDelay: true });
    await once(socket, 'connect');
    return new ClientConnection(socket);
  }

  /** Resolves when the operating system has taken the request. */
  async send(attemptId: string): Promise<void> {
    this.#received = '';
    await written(
      this.#socket,
      `POST /x/ HTTP/1.1\r\nhost: ${HOST}\r\nattempt-id: ${attemptId}\r\ncontent-length: 2\r\n\r\n{}`,
    );
  }

  /** Resolves to the status of the response to the last request; 0 if the connection ended before it. */
  async status(): Promise<number> {
    while (!this.#received.includes('\r\n\r\n') && !this.#socket.destroyed)
      await Promise.race([once(this.#socket, 'data'), once(this.#socket, 'close')]);
    return Number(/^HTTP\/1.1 (\d+)/.exec(this.#received)?.[1] ?? 0);
  }
}

function written(socket: Socket, text: string): Promise<void> {
  return new Promise((resolve) => socket.write(text, () => resolve()));
}

/** The parts around a node: see the `Outside` of the main thread. */
class OutsideParts {
  readonly #fleet = new FleetState();
  readonly #reader: StateFollower;
  readonly #network: PeerNetwork;
  #answerHeld: (headers: string) => Promise<void> = () => Promise.resolve();
  #answerFollower: () => Promise<void> = () => Promise.resolve();
  #recordQuestion: () => void = () => undefined;
  readonly asked = new Promise<void>((resolve) => (this.#recordQuestion = resolve));
  #backend: RawBackend | undefined;
  #nodePort = 0;
  #kept: ClientConnection | undefined;
  #asking: ClientConnection | undefined;

  constructor() {
    const clock = new SystemClock();
    const ids = Array.from({ length: NODES }, (_, index) => `node-${index}`);
    this.#reader = new StateFollower(
      followerOptions({
        clock,
        fleet: this.#fleet,
        ids,
        selfId: READER_ID,
        drainMs: DRAIN_MS,
        answer: () => undefined,
      }),
    );
    this.#reader.onStoreAnswered(clock.now());
    this.#network = new PeerNetwork(
      {
        [FOLLOW_METHOD]: (known) =>
          new Promise((resolve) => {
            this.#recordQuestion();
            this.#answerFollower = async () => {
              resolve(this.#reader.answer(known as FollowRequest, NOTHING_WAITS));
              // The response is written in the promise reactions that follow.
              await new Promise((afterWrite) => setImmediate(afterWrite));
            };
          }),
      },
      () => undefined,
      () => undefined,
      () => undefined,
      new Telemetry({ processName: 'test', clock: new SystemClock() }),
    );
  }

  async start(): Promise<OutsideSetup> {
    const backend = await RawBackend.start((socket, attemptId) => {
      if (attemptId !== HELD) socket.write(success(attemptId, 'answer'));
      else this.#answerHeld = (headers) => written(socket, success(attemptId, 'answer', headers));
    });
    this.#backend = backend;
    const description = backend.description(BACKEND_ID, SERVICE);
    this.#fleet.applyConfiguration(configuration({}));
    this.#fleet.applyBackend(1, description);
    const port = (await this.#network.listen({ host: LOOPBACK, port: 0 })).unwrapOr(0);
    return { backend: description, readerAddress: `${LOOPBACK}:${port}` };
  }

  async open(nodePort: number): Promise<void> {
    this.#nodePort = nodePort;
    const busy = await ClientConnection.open(nodePort);
    await busy.send(HELD);
    this.#kept = await ClientConnection.open(nodePort);
    while (this.#arrived(HELD) === 0) await new Promise((resolve) => setImmediate(resolve));
    await this.#kept.send(WARM);
    await this.#kept.status();
  }

  async arrive(arrival: Arrival): Promise<void> {
    switch (arrival) {
      case 'request':
        this.#asking = this.#kept;
        await this.#asking?.send(UNREAD);
        return;
      case 'request-on-new-connection':
        this.#asking = await ClientConnection.open(this.#nodePort);
        await this.#asking.send(UNREAD);
        return;
      case 'notice':
        await this.#answerHeld('leaving: 1\r\n');
        return;
      case 'list': {
        const listed = this.#fleet.backend(BACKEND_ID);
        if (listed !== undefined) this.#fleet.applyBackend(2, { ...listed, state: 'draining' });
        await this.#answerFollower();
      }
    }
  }

  async report(): Promise<UnreadOutcome> {
    const status = (await this.#asking?.status()) ?? 0;
    return { status, hasArrived: this.#arrived(UNREAD) > 0 };
  }

  #arrived(attemptId: string): number {
    const heads = this.#backend?.requestHeads ?? [];
    return heads.filter((head) => head.includes(`attempt-id: ${attemptId}`)).length;
  }
}

async function run(released: Int32Array): Promise<void> {
  const parts = new OutsideParts();
  const setup = await parts.start();
  parentPort?.on('message', (step: OutsideStep) => void handle(step));
  parentPort?.postMessage(setup);

  async function handle(step: OutsideStep): Promise<void> {
    switch (step.kind) {
      case 'open':
        await parts.open(step.nodePort);
        parentPort?.postMessage('opened');
        return;
      case 'await-question':
        await parts.asked;
        parentPort?.postMessage('asked');
        return;
      case 'arrive':
        for (const arrival of step.arrivals) await parts.arrive(arrival);
        Atomics.store(released, 0, RELEASED);
        Atomics.notify(released, 0);
        return;
      case 'report':
        parentPort?.postMessage(await parts.report());
    }
  }
}

void run(workerData as Int32Array);
