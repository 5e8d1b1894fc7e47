/** Timers of the system's clock when the event loop was held up. */
import { spawnSync } from 'node:child_process';
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { SystemClock } from '../src/index.js';

const TIMER_MS = 20;
const HELD_UP_MS = 200;

async function connectedPair(t: ExecutionContext): Promise<readonly [Socket, Socket]> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const accepted = new Promise<Socket>((resolve) => server.once('connection', resolve));
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const far = await accepted;
  t.teardown(() => {
    near.destroy();
    far.destroy();
    server.close();
  });
  return [near, far];
}

function holdUp(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HELD_UP_MS);
}

// Guards against taking a response that arrived while the process was held up for one that did not come in time.
test('a timer that is late runs after the input that has arrived is read', async (t) => {
  const clock = new SystemClock();
  const [near, far] = await connectedPair(t);
  const seen: string[] = [];
  near.on('data', () => seen.push('input'));
  await new Promise<void>((resolve) => {
    // The loop runs timers before it reads sockets when this callback returns.
    setImmediate(() => {
      clock.setTimer(TIMER_MS, () => {
        seen.push('timer');
        resolve();
      });
      far.write('answer');
      holdUp();
    });
  });
  t.deepEqual(seen, ['input', 'timer']);
});

test('a late timer that is cancelled by the input never runs', async (t) => {
  const clock = new SystemClock();
  const [near, far] = await connectedPair(t);
  let hasRun = false;
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      const timer = clock.setTimer(TIMER_MS, () => (hasRun = true));
      near.on('data', () => {
        timer.cancel();
        clock.setTimer(TIMER_MS, resolve);
      });
      far.write('answer');
      holdUp();
    });
  });
  t.false(hasRun);
});

// Node.js runs timers with longer delays than 2^31 - 1 ms at once, so that a long time-out ended what it should have let run.
test('a timer with a delay that timers of Node.js cannot hold does not run at once', async (t) => {
  const clock = new SystemClock();
  const seen: string[] = [];
  const timers = [2 ** 31, 1e308, Infinity].map((delayMs) =>
    clock.setTimer(delayMs, () => seen.push(String(delayMs))),
  );
  await clock.sleep(TIMER_MS);
  for (const timer of timers) timer.cancel();
  t.deepEqual(seen, []);
});

// Thrown in a late timer it was an unhandled rejection, which listeners for uncaught exceptions tell apart.
test('what a timer throws is an uncaught exception, whether it is late or not', (t) => {
  for (const heldUpMs of [0, HELD_UP_MS]) {
    const child = spawnSync(process.execPath, ['--input-type=module', '-e', throwingTimer(heldUpMs)], {
      encoding: 'utf8',
    });
    t.is(child.stdout, 'uncaughtException thrown', child.stderr);
  }
});

/** A program that prints how the exception of a timer arrives. */
function throwingTimer(heldUpMs: number): string {
  return `
    import { SystemClock } from ${JSON.stringify(new URL('../src/index.js', import.meta.url).href)};
    process.on('uncaughtException', (cause, origin) => process.stdout.write(origin + ' ' + cause.message));
    setImmediate(() => {
      new SystemClock().setTimer(${TIMER_MS}, () => {
        throw new Error('thrown');
      });
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ${heldUpMs});
    });`;
}

// A request was timed out up to a millisecond before its time: its client had not given up yet.
test('no timer runs early', async (t) => {
  const clock = new SystemClock();
  for (let fraction = 0; fraction < 20; fraction += 1) {
    const delayMs = 2 + fraction / 20;
    const startMs = clock.now();
    await clock.sleep(delayMs);
    const tookMs = clock.now() - startMs;
    t.true(tookMs >= delayMs, `${tookMs} of ${delayMs}`);
  }
});
