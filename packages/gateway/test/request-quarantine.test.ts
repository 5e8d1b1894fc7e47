/**
 * Seen in production: a request that had crashed three engines was sent four more times, although nodes
 * count such crashes.
 *
 * A response that a backend gives by itself, including an error before it has run anything, was taken for a
 * run that completed, and the crashes counted so far were forgotten. Only a complete success shows that a
 * request does not crash its backend.
 */
import { SystemClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { GatewayMetrics } from '../src/gateway-metrics.js';
import type { AttemptOutcome, BackendAttempt } from '../src/request/backend-attempt.js';
import { RequestQuarantine } from '../src/request/request-quarantine.js';

const ATTEMPT = { runMs: 80, begunForMs: undefined } as unknown as BackendAttempt;

/** The run time with which the request is reported as completed; undefined if it is not. */
async function runMsOfClearing(outcome: AttemptOutcome): Promise<number | undefined> {
  let clearingRunMs: number | undefined;
  const clock = new SystemClock();
  const quarantine = {
    isEmpty: false,
    remainingMs: () => undefined,
    retryAfterMs: () => 0,
    isTrialDue: () => false,
    requestTrial: () => Promise.resolve(false),
    interrupted: () => Promise.resolve(),
    completed: (_: string, runMs?: number) => {
      clearingRunMs = runMs ?? 0;
    },
  };
  const telemetry = new Telemetry({ processName: 'test', clock });
  const context = { quarantine, telemetry, metrics: new GatewayMetrics() };
  const parts = { host: 'h', target: '/x/', tenant: undefined, body: Buffer.alloc(0) };
  await new RequestQuarantine(context, 'a1', () => parts).attemptEnded('i1', ATTEMPT, outcome);
  return clearingRunMs;
}

async function clearedBy(outcome: AttemptOutcome): Promise<boolean> {
  return (await runMsOfClearing(outcome)) !== undefined;
}

test('only a complete success clears a request that is suspected of crashing backends', async (t) => {
  t.true(await clearedBy({ kind: 'complete', status: 200 }));
  t.false(await clearedBy({ kind: 'failure', status: 500, headers: {}, body: Buffer.alloc(0) }));
  t.false(await clearedBy({ kind: 'not-run', reason: 'refused' }));
  t.false(await clearedBy({ kind: 'cancelled' }));
});

// Guards against a run that was sent before the request was suspected being taken for a later one.
test('a completed request is reported with the time since it was sent', async (t) => {
  t.is(await runMsOfClearing({ kind: 'complete', status: 200 }), ATTEMPT.runMs);
});
