import type { Connection, Host, SimulatedNetwork } from './network.js';

/**
 * Runs one exchange over a new connection. Resolves exactly once: with the value passed to `answer`, or with
 * the result of `onFailure` after a broken connection, a timeout or an abort. `sent` is false if no
 * connection could be opened.
 */
export function exchange<T>(
  network: SimulatedNetwork,
  client: Host,
  server: Host,
  start: (connection: Connection, answer: (value: T) => void) => void,
  onFailure: (sent: boolean) => T,
  timeoutMs?: number,
  signal?: AbortSignal,
): Promise<T> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) return resolve(onFailure(false));
    const connection = network.connect(client, server);
    if (connection === undefined) {
      client.clock.setTimer(network.delayMs() * 2, () => resolve(onFailure(false)));
      return;
    }
    const finish = (value: T): void => {
      timer?.cancel();
      signal?.removeEventListener('abort', fail);
      connection.close();
      resolve(value);
    };
    const fail = (): void => {
      connection.break();
      finish(onFailure(true));
    };
    const timer = timeoutMs === undefined ? undefined : client.clock.setTimer(timeoutMs, fail);
    signal?.addEventListener('abort', fail, { once: true });
    connection.onClientBreak = () => finish(onFailure(true));
    start(connection, finish);
  });
}
