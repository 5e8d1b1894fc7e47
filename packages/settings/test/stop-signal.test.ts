import test from 'ava';
import { stopSignal } from '../src/index.js';

/**
 * Sends a signal to this process and waits until its listeners have run. Returns whether the process had a
 * listener beside the one added here.
 */
async function signalSelf(signal: NodeJS.Signals): Promise<boolean> {
  const hadListener = process.listenerCount(signal) > 0;
  // A pending signal does not keep the event loop alive, so a timer does until the signal has arrived.
  const keepAlive = setInterval(() => undefined, 1000);
  const handled = new Promise<void>((resolve) => process.once(signal, () => resolve()));
  process.kill(process.pid, signal);
  await handled;
  clearInterval(keepAlive);
  return hadListener;
}

// The second signal ended the process within its graceful stop.
test.serial('a second SIGINT during a graceful stop does not end the process', async (t) => {
  const stopped = stopSignal();
  t.true(await signalSelf('SIGINT'));
  await stopped;
  t.true(await signalSelf('SIGINT'));
});

test.serial('a second SIGTERM during a graceful stop does not end the process', async (t) => {
  const stopped = stopSignal();
  t.true(await signalSelf('SIGTERM'));
  await stopped;
  t.true(await signalSelf('SIGTERM'), 'without a listener the second SIGTERM would end the process at once');
});
