import { splitSocketAddress, type SocketAddress } from '@canvasridge/addresses';
import { request } from 'node:http';
import { SystemClock } from '@canvasridge/clock';
import { errorFields, type Telemetry } from '@canvasridge/telemetry';

/** Its late timers run after the input that has arrived meanwhile is read. */
const CLOCK = new SystemClock();

/** Tests whether a backend can be reached. */
export interface PathProbe {
  /** Resolves to whether the backend answered; never rejects. */
  answers(address: SocketAddress, timeoutMs: number): Promise<boolean>;
}

/**
 * Returns a probe that sends a GET request on a new connection, to a path that backends answer without running
 * anything. Any response counts. That a connection is accepted would not show that its data arrives. A request that
 * can't be made is logged as `probe.failed`.
 */
export function httpProbe(path: string, telemetry: Pick<Telemetry, 'event'>): PathProbe {
  return {
    async answers(address, timeoutMs) {
      try {
        return await isAnswered(address, path, timeoutMs);
      } catch (cause) {
        telemetry.event('error', 'probe.failed', address, errorFields(cause));
        return false;
      }
    },
  };
}

function isAnswered(address: SocketAddress, path: string, timeoutMs: number): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({ ...splitSocketAddress(address), path, agent: false });
    const finish = (isAnswered: boolean): void => {
      timer.cancel();
      outgoing.destroy();
      resolve(isAnswered);
    };
    const timer = CLOCK.setTimer(timeoutMs, () => finish(false));
    outgoing.once('response', () => finish(true));
    outgoing.on('error', () => finish(false));
    outgoing.end();
  });
}
