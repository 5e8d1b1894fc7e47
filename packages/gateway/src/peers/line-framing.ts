import type { Socket } from 'node:net';

/** A frame longer than this is no message of a peer. */
const LONGEST_FRAME_BYTES = 8 * 1024 * 1024;

/** Splits what a socket receives into JSON values, one a line. The socket is destroyed on anything else. */
export function readFrames(socket: Socket, receive: (value: unknown) => void): void {
  let rest = '';
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => {
    const lines = (rest + text).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > LONGEST_FRAME_BYTES) socket.destroy();
    for (const line of lines) {
      const value = parseFrame(line);
      if (value === undefined) {
        socket.destroy();
        return;
      }
      receive(value);
    }
  });
}

/** Returns the bytes written, 0 if the socket is gone. */
export function writeFrame(socket: Socket, value: unknown): number {
  if (socket.destroyed) return 0;
  const frame = Buffer.from(`${JSON.stringify(value)}\n`);
  socket.write(frame);
  return frame.length;
}

function parseFrame(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
}
