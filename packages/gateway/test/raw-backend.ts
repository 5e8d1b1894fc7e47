import { socketAddress } from '@canvasridge/addresses';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { BackendDescription } from '@canvasridge/serving';

/** Path of the probes of nodes, which are answered and not recorded. */
export const PROBE_PATH = '/probe';

/** Handles one request of a {@link RawBackend}, given its headers and the socket. */
export type RawResponder = (socket: Socket, attemptId: string, head: string) => void;

/**
 * A backend on a real socket that responds with arbitrary bytes, so that any backend fault can be
 * reproduced.
 */
export class RawBackend {
  readonly #server: Server;
  /** Header sections of the requests that arrived. */
  readonly requestHeads: string[] = [];
  connections = 0;
  /** Probes that arrived; each has its own connection. */
  probes = 0;
  /** Whether probes are answered. */
  answersProbes = true;
  #port = 0;

  private constructor(respond: RawResponder) {
    this.#server = createServer((socket) => {
      this.connections += 1;
      socket.on('error', () => undefined);
      let received = '';
      socket.on('data', (bytes: Buffer) => {
        received += bytes.toString('latin1');
        const end = received.indexOf('\r\n\r\n');
        if (end === -1) return;
        const head = received.slice(0, end);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (received.length < end + 4 + length) return;
        received = '';
        if (head.startsWith(`GET ${PROBE_PATH} `)) {
          this.probes += 1;
          if (this.answersProbes) socket.end('HTTP/1.1 204 No Content\r\n\r\n');
          return;
        }
        this.requestHeads.push(head);
        respond(socket, /attempt-id: (\S+)/i.exec(head)?.[1] ?? '', head);
      });
    });
  }

  static async start(respond: RawResponder): Promise<RawBackend> {
    const backend = new RawBackend(respond);
    await new Promise<void>((resolve) => backend.#server.listen(0, '127.0.0.1', resolve));
    backend.#port = (backend.#server.address() as AddressInfo).port;
    return backend;
  }

  get port(): number {
    return this.#port;
  }

  description(id: string, service: string): BackendDescription {
    return {
      id,
      service,
      address: socketAddress(`127.0.0.1:${this.#port}`),
      zone: 'a',
      state: 'ready',
      slots: 4,
      models: [],
    };
  }

  stop(): void {
    this.#server.close();
  }
}

/** Resolves when a connection is closed: whether the other side has reset it. */
export function endsByReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => socket.once('close', resolve));
}

/** A complete successful response. */
export function success(attemptId: string, body: string, extraHeaders = ''): string {
  return (
    `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nresponse-stamp: s1\r\n${extraHeaders}` +
    `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  );
}

/** The header section of an event stream response. */
export function streamHead(attemptId: string): string {
  return (
    `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nresponse-stamp: s1\r\n` +
    'content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n'
  );
}

/** One chunk of a chunked body. */
export function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}
