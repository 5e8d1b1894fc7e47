import { request } from 'node:http';

/** Tests whether a backend can be reached. */
export interface PathProbe {
  /**
   * Resolves to whether the backend answered; never rejects.
   * @param address in the form `IP:port`
   */
  answers(address: string, timeoutMs: number): Promise<boolean>;
}

/**
 * Returns a probe that sends a GET request on a new connection, to a path that backends answer without running
 * anything. Any response counts. That a connection is accepted would not show that its data arrives.
 */
export function httpProbe(path: string): PathProbe {
  return {
    answers(address, timeoutMs) {
      const separator = address.lastIndexOf(':');
      return new Promise((resolve) => {
        const outgoing = request({
          host: address.slice(0, separator),
          port: Number(address.slice(separator + 1)),
          path,
          agent: false,
        });
        const finish = (isAnswered: boolean): void => {
          clearTimeout(timer);
          outgoing.destroy();
          resolve(isAnswered);
        };
        // A process that was suspended or busy first reads what has arrived meanwhile.
        const timer = setTimeout(() => setImmediate(() => finish(false)), timeoutMs);
        outgoing.once('response', () => finish(true));
        outgoing.on('error', () => finish(false));
        outgoing.end();
      });
    },
  };
}
