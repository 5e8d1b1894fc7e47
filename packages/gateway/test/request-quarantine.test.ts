/**
 * Seen in production: a request that had crashed three engines was sent four more times, although nodes
 * count such crashes.
 *
 * A response that a backend gives by itself, including an error before it has run anything, was taken for a
 * run that completed, and the crashes counted so far were forgotten. Only a complete success shows that a
 * request does not crash its backend.
 */
import type { PartRun } from '@canvasridge/admission';
import { SystemClock, VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { GatewayMetrics } from '../src/gateway-metrics.js';
import type { AttemptOutcome, BackendAttempt } from '../src/request/backend-attempt.js';
import { RequestQuarantine, type EndedAttempt } from '../src/request/request-quarantine.js';

const ATTEMPT = { runMs: 80, begunForMs: undefined, endsWithConnection: false } as unknown as BackendAttempt;

const NO_QUARANTINE = {
  isEmpty: false,
  remainingMs: () => undefined,
  retryAfterMs: () => 0,
  isTrialDue: () => false,
  requestTrial: () => Promise.resolve(false),
  interrupted: () => Promise.resolve(),
  unresolved: () => undefined,
  completed: () => undefined,
};
const BACKEND = { backendId: 'i1', service: 's' };
const NO_PART_CRASHES = {
  crashed: () => Promise.resolve(),
  unresolved: () => undefined,
  ran: () => undefined,
};

/** The run time with which the request is reported as completed; undefined if it is not. */
async function runMsOfClearing(outcome: AttemptOutcome): Promise<number | undefined> {
  let clearingRunMs: number | undefined;
  const clock = new SystemClock();
  const quarantine = {
    ...NO_QUARANTINE,
    completed: (_: string, runMs?: number) => {
      clearingRunMs = runMs ?? 0;
    },
  };
  const telemetry = new Telemetry({ processName: 'test', clock });
  const connections = { lastReceivedMs: () => 0 };
  const context = {
    quarantine,
    partCrashes: NO_PART_CRASHES,
    clock,
    connections,
    telemetry,
    metrics: new GatewayMetrics(),
  };
  const parts = { host: 'h', target: '/x/', tenant: undefined, body: Buffer.alloc(0) };
  await new RequestQuarantine(context, 'a1', [], () => parts).attemptEnded(BACKEND, ATTEMPT, outcome);
  return clearingRunMs;
}

async function clearedBy(outcome: AttemptOutcome): Promise<boolean> {
  return (await runMsOfClearing(outcome)) !== undefined;
}

test('only a complete success clears a request that is suspected of crashing backends', async (t) => {
  t.true(await clearedBy({ kind: 'complete', status: 200 }));
  t.false(await clearedBy({ kind: 'failure', status: 500, headers: {}, body: [] }));
  t.false(await clearedBy({ kind: 'not-run', reason: 'refused' }));
  t.false(await clearedBy({ kind: 'cancelled' }));
});

// Guards against a run that was sent before the request was suspected being taken for a later one.
test('a completed request is reported with the time since it was sent', async (t) => {
  t.is(await runMsOfClearing({ kind: 'complete', status: 200 }), ATTEMPT.runMs);
});

interface Reported {
  readonly kind: 'interrupted' | 'unresolved' | 'none';
  /** Whether a trial that was allowed before the attempt may be sent again. */
  readonly mayRepeatTrial: boolean;
}

/** What is reported of a trial that ended like this. */
async function reportOf(
  outcome: AttemptOutcome,
  isPathLost = false,
  attempt: EndedAttempt = { sent: true, runMs: 80, begunForMs: undefined, endsWithConnection: false },
): Promise<Reported> {
  let kind: Reported['kind'] = 'none';
  const quarantine = {
    isEmpty: false,
    remainingMs: () => 1000,
    retryAfterMs: () => 0,
    isTrialDue: () => true,
    requestTrial: () => Promise.resolve(true),
    interrupted: () => {
      kind = 'interrupted';
      return Promise.resolve();
    },
    unresolved: () => {
      kind = 'unresolved';
    },
    completed: () => undefined,
  };
  const clock = new SystemClock();
  const telemetry = new Telemetry({ processName: 'test', clock });
  const parts = { host: 'h', target: '/x/', tenant: undefined, body: Buffer.alloc(0) };
  const connections = { lastReceivedMs: () => 0 };
  const context = {
    quarantine,
    partCrashes: NO_PART_CRASHES,
    clock,
    connections,
    telemetry,
    metrics: new GatewayMetrics(),
  };
  const request = new RequestQuarantine(context, 'a1', [], () => parts);
  await request.requestTrial();
  await request.attemptEnded(BACKEND, attempt, outcome, isPathLost);
  return { kind, mayRepeatTrial: !request.isQuarantined };
}

const LOST: AttemptOutcome = { kind: 'broken', how: 'connection-lost', detail: 'other side closed' };
const SILENT: AttemptOutcome = { kind: 'broken', how: 'silent', detail: 'silent' };

// Guards against counting no crash for a run whose node was cut off from its backend, or whose client left.
test('a run that ended unseen is reported as unresolved', async (t) => {
  t.is((await reportOf(SILENT)).kind, 'unresolved');
  t.is((await reportOf({ kind: 'cancelled' })).kind, 'unresolved');
  t.is((await reportOf(LOST, true)).kind, 'unresolved');
  t.is((await reportOf(LOST)).kind, 'interrupted');
  const unsent = { sent: false, runMs: 0, begunForMs: undefined, endsWithConnection: false };
  t.is((await reportOf({ kind: 'cancelled' }, false, unsent)).kind, 'none');
  const begun = { sent: true, runMs: 5000, begunForMs: 4000, endsWithConnection: false };
  t.is((await reportOf({ kind: 'cancelled' }, false, begun)).kind, 'none');
});

// Guards against a second send on one permission for a trial when the first one's path was lost.
test('a trial is one send, also if its node lost the path to the backend', async (t) => {
  t.false((await reportOf(LOST, true)).mayRepeatTrial);
  t.false((await reportOf(SILENT)).mayRepeatTrial);
});

/** What becomes of a response that ended with its connection 80 ms after its request was sent, in order. */
async function reportsOfUnframed(lastReceivedAfterMs: number): Promise<string[]> {
  const clock = new VirtualClock();
  const reports: string[] = [];
  const quarantine = {
    ...NO_QUARANTINE,
    unresolved: () => reports.push('unresolved'),
    completed: (_: string, runMs?: number) => reports.push(`completed ${runMs}`),
  };
  const partCrashes = {
    ...NO_PART_CRASHES,
    unresolved: ({ parts }: PartRun) => reports.push(`unresolved ${parts.join()}`),
    ran: ({ parts }: PartRun, begunForMs: number) => reports.push(`ran ${parts.join()} ${begunForMs}`),
  };
  const telemetry = new Telemetry({ processName: 'test', clock });
  const connections = { lastReceivedMs: () => lastReceivedAfterMs };
  const context = { quarantine, partCrashes, clock, connections, telemetry, metrics: new GatewayMetrics() };
  const parts = { host: 'h', target: '/x/', tenant: undefined, body: Buffer.alloc(0) };
  const attempt = { sent: true, runMs: 80, begunForMs: 20, endsWithConnection: true };
  const request = new RequestQuarantine(context, 'a1', ['aa', 'bb'], () => parts);
  await request.attemptEnded(BACKEND, attempt, { kind: 'complete', status: 200 });
  await clock.runUntil(5000);
  return reports;
}

// Guards against a crash that clears what caused it, where the end of the connection is that of the response.
test('a response that ended with its connection counts as complete only if its backend lives', async (t) => {
  const unresolved = ['unresolved', 'unresolved part.aa,part.bb'];
  t.deepEqual(await reportsOfUnframed(0), unresolved);
  t.deepEqual(await reportsOfUnframed(500), [...unresolved, 'completed 1080', 'ran part.aa,part.bb 1020']);
});
