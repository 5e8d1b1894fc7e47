import type { Connection, Host, SimulatedNetwork } from './network.js';

/** One remote exchange: ends once, by an answer, a break, a timeout or an abort. */
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
      signal?.removeEventListener('abort', aborted);
      connection.close();
      resolve(value);
    };
    const aborted = (): void => {
      connection.break();
      finish(onFailure(true));
    };
    const timer = timeoutMs === undefined ? undefined : client.clock.setTimer(timeoutMs, aborted);
    signal?.addEventListener('abort', aborted, { once: true });
    connection.onClientBreak = () => finish(onFailure(true));
    start(connection, finish);
  });
}
