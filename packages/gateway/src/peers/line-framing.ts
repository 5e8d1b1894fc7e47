import type { Socket } from 'node:net';

/** No message of a peer is longer than this. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/**
 * Splits the data that a socket receives into JSON objects, one per line. Anything else destroys the socket.
 * @param onUnreadable called then, with the reason
 */
export function readFrames(
  socket: Socket,
  receive: (value: object) => void,
  onUnreadable: (reason: string) => void,
): void {
  const refuse = (reason: string): void => {
    onUnreadable(reason);
    socket.destroy();
  };
  let rest = '';
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => {
    const lines = (rest + text).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_FRAME_BYTES) refuse('too long');
    for (const line of lines) {
      const value = parseFrame(line);
      if (value === undefined) {
        refuse('no JSON object');
        return;
      }
      receive(value);
    }
  });
}

/** Returns the number of bytes written, 0 if the socket is closed. */
export function writeFrame(socket: Socket, value: unknown): number {
  if (socket.destroyed) return 0;
  const frame = Buffer.from(`${JSON.stringify(value)}\n`);
  socket.write(frame);
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
