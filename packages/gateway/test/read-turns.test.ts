/** Turns of connections whose bodies come in many chunks. */
import { connect } from 'node:net';
import test from 'ava';
import { ReadTurns, type PacedSocket } from '../src/request/read-turns.js';
import { HOST, Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';
import { until } from './unfinished-body.js';

const CHUNKS_A_TURN = 256;
/** Chunks of one byte in a body inside the limit of the harness. */
const BODY_CHUNKS = 60_000;

class Connection {
  readonly #listeners = new Set<() => void>();
  isPaused = false;
  destroyed = false;
  readonly socket = this as unknown as PacedSocket;

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    for (const listener of [...this.#listeners]) listener();
  }

  on(_event: 'resume', listener: () => void): void {
    this.#listeners.add(listener);
  }

  off(_event: 'resume', listener: () => void): void {
    this.#listeners.delete(listener);
  }
}

class Rig {
  readonly #next: (() => void)[] = [];
  readonly turns = new ReadTurns((callback) => this.#next.push(callback));

  get isIdle(): boolean {
    return this.#next.length === 0;
  }

  turn(): void {
    for (const callback of this.#next.splice(0)) callback();
  }

  /** A connection with a body in this many chunks so far. */
  open(chunks: number): Connection {
    const connection = new Connection();
    const count = this.turns.counter(connection.socket);
    for (let index = 0; index < chunks; index += 1) count();
    return connection;
  }
}

// All that had arrived on each of them was handled in one turn.
test('connections with many chunks are read one in a turn, in the order in which they had their share', (t) => {
  const rig = new Rig();
  const connections = [rig.open(CHUNKS_A_TURN), rig.open(10 * CHUNKS_A_TURN), rig.open(CHUNKS_A_TURN)];
  const paused = (): boolean[] => connections.map(({ isPaused }) => isPaused);
  t.deepEqual(paused(), [true, true, true]);
  rig.turn();
  t.deepEqual(paused(), [false, true, true]);
  rig.turn();
  t.deepEqual(paused(), [false, false, true]);
  rig.turn();
  t.deepEqual(paused(), [false, false, false]);
  t.true(rig.isIdle);
});

// Node.js resumes the connection of each request that was read, which ended the pause at once.
test('a connection that waits is not resumed by others', (t) => {
  const rig = new Rig();
  const connection = rig.open(CHUNKS_A_TURN);
  connection.resume();
  t.true(connection.isPaused);
  rig.turn();
  t.false(connection.isPaused);
  connection.pause();
  connection.resume();
  t.false(connection.isPaused);
});

test('a connection with few chunks does not wait', (t) => {
  const rig = new Rig();
  t.false(rig.open(CHUNKS_A_TURN - 1).isPaused);
  t.true(rig.isIdle);
});

test('a connection that closed while it waited takes no turn', (t) => {
  const rig = new Rig();
  const closed = rig.open(CHUNKS_A_TURN);
  const next = rig.open(CHUNKS_A_TURN);
  closed.destroyed = true;
  rig.turn();
  t.false(next.isPaused);
  t.true(rig.isIdle);
});

test('a body in chunks of one byte is served, and its connection can be used again', async (t) => {
  const answer: RawResponder = (socket, id) => socket.write(success(id, 'answer'));
  const harness = await Harness.start({}, [answer]);
  t.teardown(() => harness.stop());
  const socket = connect(harness.port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  let text = '';
  socket.on('data', (part) => (text += part.toString('latin1')));
  const send = (id: string): void => {
    const head = `POST /x/ HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
    socket.write(`${head}${'1\r\nx\r\n'.repeat(BODY_CHUNKS)}0\r\n\r\n`);
  };
  const answers = (): number => text.split('HTTP/1.1 200 ').length - 1;
  send('a1');
  await until(() => answers() === 1);
  send('a2');
  await until(() => answers() === 2);
  t.is(harness.bodyMemory.reservedBytes, 0);
});
