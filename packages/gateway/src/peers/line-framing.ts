import type { Socket } from 'node:net';
import { LineBuffer } from './line-buffer.js';

/** What becomes of the data that a socket receives. */
export interface FrameReader {
  readonly maxLineBytes: number;
  /** @param lineBytes length of the line that held the object */
  readonly receive: (value: object, lineBytes: number) => void;
  /** Called when the memory of the unfinished line has changed. */
  readonly onHeld: (bytes: number) => void;
  /** The data is no JSON object, or a line is too long; the socket is destroyed. */
  readonly onUnreadable: (reason: string) => void;
}

/** Splits the data that a socket receives into JSON objects, one per line. Anything else destroys the socket. */
export function readFrames(
  socket: Socket,
  { maxLineBytes, receive, onHeld, onUnreadable }: FrameReader,
): void {
  const refuse = (reason: string): void => {
    onUnreadable(reason);
    socket.destroy();
  };
  const buffer = new LineBuffer(maxLineBytes);
  socket.on('data', (chunk: Buffer) => {
    const { heldBytes } = buffer;
    const read = buffer.push(chunk);
    if (read.kind === 'too-long') {
      refuse('too long');
      return;
    }
    for (const line of read.lines) {
      const value = parseFrame(line.toString());
      if (value === undefined) {
        refuse('no JSON object');
        return;
      }
      receive(value, line.length);
    }
    if (buffer.heldBytes !== heldBytes) onHeld(buffer.heldBytes);
  });
}

/**
 * Returns the number of bytes written, 0 if the socket is closed.
 * @param onWritten called when the operating system has taken them, or the socket has ended
 */
export function writeFrame(socket: Socket, value: unknown, onWritten: () => void): number {
  if (socket.destroyed) return 0;
  const frame = Buffer.from(`${JSON.stringify(value)}\n`);
  socket.write(frame, onWritten);
  return frame.length;
}

function parseFrame(line: string): object | undefined {
  try {
    const value = JSON.parse(line) as unknown;
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
