/** Clients that don't behave: raw connections whose bytes the test chooses. */
import { connect, type Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { CALLER_KEY, SERVICE } from './node-process.js';

/** Head of a chunked request to the service, without an end of its body. */
export function chunkedHead(path = '/'): string {
  return `POST /services/${SERVICE}${path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${CALLER_KEY}\r\ntransfer-encoding: chunked\r\n\r\n`;
}

export function getRequest(path: string): string {
  return `GET /services/${SERVICE}${path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${CALLER_KEY}\r\n\r\n`;
}

/** A chunk of a chunked body. */
export function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** Connections that are closed when the test ends. */
export class Crowd {
  readonly sockets: Socket[] = [];

  constructor(t: ExecutionContext) {
    t.teardown(() => this.leave());
  }

  /** Opens a connection; resolves when it is open or refused. */
  open(address: { readonly host: string; readonly port: number }): Promise<Socket> {
    const socket = connect({ ...address, noDelay: true });
    this.sockets.push(socket);
    socket.on('error', () => undefined); // the node may close connections of a crowd
    return new Promise((resolve) => {
      socket.once('connect', () => resolve(socket));
      socket.once('close', () => resolve(socket));
    });
  }

  /** Closes all connections at once. */
  leave(): void {
    for (const socket of this.sockets) socket.destroy();
    this.sockets.length = 0;
  }
}

/** Resolves when the text was written or the connection is closed. */
export function send(socket: Socket, text: string): Promise<void> {
  return new Promise((resolve) => {
    socket.once('close', () => resolve());
    if (socket.destroyed) resolve();
    else socket.write(text, 'latin1', () => resolve());
  });
}
