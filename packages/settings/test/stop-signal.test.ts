import test from 'ava';
import { stopSignal } from '../src/index.js';

/** Sends this process a signal and waits until Node has handled it, which takes a turn of its loop. */
async function signalSelf(signal: NodeJS.Signals): Promise<void> {
  const handled = new Promise<void>((resolve) => process.once(signal, () => resolve()));
  process.kill(process.pid, signal);
  await handled;
}

test.serial('a planned stop that is asked for again goes on', async (t) => {
  const stopped = stopSignal();
  await signalSelf('SIGTERM');
  await stopped;
  t.true(process.listenerCount('SIGTERM') > 0, 'a second signal would end the process at once');
  await signalSelf('SIGTERM');
  t.pass();
});
