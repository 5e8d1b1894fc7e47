/** Guards against requests that keep what they hold, or their client's connection, when an internal error ends them. */
import { SystemClock, type Timer } from '@canvasridge/clock';
import test from 'ava';
import { configuration, dialect, Harness, tenant, type RouteOverrides } from './harness.js';
import { chunk, streamHead, success, type RawResponder } from './raw-backend.js';

const answer: RawResponder = (socket, id) => socket.write(success(id, 'answer'));
const quota = { unit: 'requests', ratePerSecond: 1, burst: 2, plainTokens: 1 } as const;
/** Time that a request on the routes of these tests may take, in milliseconds. */
const TIMEOUT_MS = 5432;

function defects(harness: Harness): number {
  return harness.lines.filter((line) => line.includes('event=request.defect')).length;
}

/** Resolves when the request that the harness served last has ended. */
async function finished(harness: Harness): Promise<void> {
  while (!harness.lines.some((line) => line.includes('event=request.finished')))
    await new Promise((resolve) => setTimeout(resolve, 5));
}

class CountingClock extends SystemClock {
  /** Timers of requests that are set. */
  requestTimers = 0;

  override setTimer(delayMs: number, callback: () => void): Timer {
    const timer = super.setTimer(delayMs, callback);
    if (delayMs !== TIMEOUT_MS) return timer;
    this.requestTimers += 1;
    return {
      cancel: () => {
        timer.cancel();
        this.requestTimers -= 1;
      },
    };
  }
}

// The timer, and with it the whole exchange, stayed until the route's timeout.
test('a request that ends by a defect leaves no timer and no memory for its body taken', async (t) => {
  const clock = new CountingClock();
  const harness = await Harness.start({ timeoutMs: TIMEOUT_MS }, [answer], clock);
  t.teardown(() => harness.stop());
  harness.isQuarantined = () => {
    throw new Error('defect');
  };
  const { status, headers } = await harness.call('a1');
  t.is(status, 503);
  t.truthy(headers['retry-after']);
  t.is(defects(harness), 1);
  t.is(clock.requestTimers, 0);
  t.is(harness.bodyMemory.reservedBytes, 0);
});

// The backend was picked before the charge failed, and its slot stayed taken.
test('a backend that was picked is given back if the charge for another run fails', async (t) => {
  const breaks: RawResponder = (socket) => socket.resetAndDestroy();
  const harness = await Harness.start(undefined, [breaks, breaks]);
  t.teardown(() => harness.stop());
  harness.fleet.applyConfiguration(configuration({}, [tenant('t', ['k'], { quota })]));
  let charges = 0;
  harness.admit = () => {
    charges += 1;
    return charges === 1 ? Promise.resolve({ kind: 'admitted' }) : Promise.reject(new Error('defect'));
  };
  const { status } = await harness.call('a1', '/x/', 'question', { key: 'k' });
  t.is(status, 502, 'the first backend may have run it');
  t.is(charges, 2);
  t.is(harness.picked, 0);
  t.is(harness.waits, 0);
});

const STREAM: RouteOverrides = {
  kind: 'stream',
  resumable: true,
  attempts: 3,
  objectiveMs: 125,
  timeoutMs: TIMEOUT_MS,
};

// The slot, the connection and the charge of the backend that was to take over stayed taken.
test('a replacement is given back if the request ends by a defect before it takes over', async (t) => {
  const silent: RawResponder = (socket, id) => socket.write(streamHead(id) + chunk('id: 1\ndata: e1\n\n'));
  const harness = await Harness.start(undefined, [silent, silent]);
  t.teardown(() => harness.stop());
  harness.fleet.applyConfiguration(configuration(STREAM, [tenant('t', ['k'], { quota })]));
  harness.quarantineReports.push = () => {
    throw new Error('defect');
  };
  const { whole } = await harness.call('a1', '/x/', 'question', { key: 'k' });
  await finished(harness);
  t.false(whole);
  t.is(defects(harness), 1);
  t.true(harness.lines.some((line) => line.includes('replacement=i')));
  t.deepEqual(harness.refundedUnits, [1], 'the takeover was not run');
  t.is(harness.picked, 0);
  t.is(harness.waits, 0);
});

const refusalHeaders = dialect.refusalHeaders.bind(dialect);

// The refusal was tried once more while the first failure was handled, and its failure ended the process.
test.serial('the connection of a client is closed if no response can be made', async (t) => {
  const harness = await Harness.start({}, []);
  t.teardown(() => {
    harness.stop();
    Object.assign(dialect, { refusalHeaders });
  });
  Object.assign(dialect, { refusalHeaders: () => ({ 'not a name': '1' }) });
  const { status, whole } = await harness.call('a1');
  t.is(status, 0);
  t.false(whole);
  t.is(defects(harness), 2);
  await finished(harness);
});

// The error was thrown in a timer, which ended the process.
test.serial('a request whose timeout can not be answered is closed', async (t) => {
  const harness = await Harness.start({ timeoutMs: 50 }, [() => undefined]);
  t.teardown(() => {
    harness.stop();
    Object.assign(dialect, { refusalHeaders });
  });
  Object.assign(dialect, { refusalHeaders: () => ({ 'not a name': '1' }) });
  const { status } = await harness.call('a1');
  t.is(status, 0);
  await finished(harness);
  t.is(harness.picked, 0);
  t.is(harness.waits, 0);
});
