import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { BackendDescription } from '@canvasridge/serving';

/** What a {@link RawBackend} does with one request, given its head and the socket. */
export type RawAnswer = (socket: Socket, attemptId: string, head: string) => void;

/** A backend on a real socket that answers with given bytes, so that each fault of one can be shown. */
export class RawBackend {
  readonly #server: Server;
  /** Heads of the requests that arrived. */
  readonly heads: string[] = [];
  connections = 0;
  #port = 0;

  private constructor(answer: RawAnswer) {
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
        this.heads.push(head);
        answer(socket, /attempt-id: (\S+)/i.exec(head)?.[1] ?? '', head);
      });
    });
  }

  static async start(answer: RawAnswer): Promise<RawBackend> {
    const backend = new RawBackend(answer);
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
      address: `127.0.0.1:${this.#port}`,
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

/** A whole success as a backend gives it. */
export function success(attemptId: string, body: string, extraHeaders = ''): string {
  return (
    `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nresponse-stamp: s1\r\n${extraHeaders}` +
    `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  );
}

/** The head of a stream of events. */
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
