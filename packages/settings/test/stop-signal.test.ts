import test from 'ava';
import { stopSignal } from '../src/index.js';

/** Sends this process a signal and waits until its listeners have run. Returns whether the process had any but this. */
async function signalSelf(signal: NodeJS.Signals): Promise<boolean> {
  const isHeard = process.listenerCount(signal) > 0;
  // A signal does not keep an idle process up until it has arrived.
  const keepAlive = setInterval(() => undefined, 1000);
  const handled = new Promise<void>((resolve) => process.once(signal, () => resolve()));
  process.kill(process.pid, signal);
  await handled;
  clearInterval(keepAlive);
  return isHeard;
}

test.serial('a planned stop that is asked for again goes on', async (t) => {
  const stopped = stopSignal();
  t.true(await signalSelf('SIGTERM'));
  await stopped;
  t.true(await signalSelf('SIGTERM'), 'without a listener the process would end at once');
});
