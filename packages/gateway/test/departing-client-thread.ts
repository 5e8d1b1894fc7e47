/** The thread of a DepartingClient: it opens connections, sends requests and ends the connections. */
import { connect, type Socket } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';
import type { ClientOrder } from './departing-client.js';

const { port, done } = workerData as { readonly port: number; readonly done: Int32Array };
let kept: Socket | undefined;

function open(): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: '127.0.0.1', port }, () => resolve(socket));
    socket.once('error', reject);
  });
}

/** Resolves when the system has taken over all of the text. */
function write(socket: Socket, text: string): Promise<void> {
  return new Promise((resolve) => socket.write(text, () => resolve()));
}

async function end(socket: Socket, how: 'close' | 'reset'): Promise<void> {
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.on('error', () => undefined);
  if (how === 'reset') socket.resetAndDestroy();
  else socket.destroy();
  await closed;
}

async function carryOut({ text, ends }: ClientOrder): Promise<void> {
  const socket = kept ?? (await open());
  if (text !== undefined) await write(socket, text);
  kept = ends === undefined ? socket : undefined;
  if (ends !== undefined) await end(socket, ends);
  Atomics.store(done, 0, 1);
  Atomics.notify(done, 0);
}

parentPort?.on('message', (order: ClientOrder) => void carryOut(order));
