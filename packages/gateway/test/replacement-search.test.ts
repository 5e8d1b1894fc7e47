/** What a search for a replacement takes, and in which order, so that it takes nothing for a request that may not be sent. */
import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import type { BackendDescription, BackendService } from '@canvasridge/serving';
import type { UseOutcome } from '@canvasridge/slots';
import test from 'ava';
import type { PickResult } from '../src/backends/picker.js';
import { ReplacementSearch, type SearchedRequest } from '../src/request/replacement-search.js';

const SERVICE: BackendService = { name: 'api', maxConnections: 10, engine: undefined };
/** Several tries of a search. */
const WAIT_MS = 1600;

function backend(id: string): BackendDescription {
  const address = '127.0.0.1:1';
  return {
    id,
    service: SERVICE.name,
    address: socketAddress(address),
    zone: 'a',
    state: 'ready',
    slots: 4,
    models: [],
  };
}

interface SearchSetup {
  readonly clock: VirtualClock;
  readonly search: ReplacementSearch;
  /** What the search did, in order. */
  readonly steps: string[];
  readonly obstacles: string[];
}

function newSearch(
  changes: Partial<SearchedRequest>,
  answering: readonly string[] = ['b', 'c'],
): SearchSetup {
  const clock = new VirtualClock();
  const steps: string[] = [];
  const obstacles: string[] = [];
  const request: SearchedRequest = {
    obstacle: () => undefined,
    pick: (silent): Promise<PickResult> => {
      const id = ['a', 'b', 'c'].find((candidate) => !silent.includes(candidate));
      if (id === undefined) return Promise.resolve({ kind: 'none', reason: 'no-backend', retryAfterMs: 1 });
      steps.push(`pick ${id}`);
      const finish = (outcome: UseOutcome): void => void steps.push(`finish ${id} ${outcome}`);
      const picked = { backend: backend(id), how: 'granted', isChargedToRateLimit: false };
      return Promise.resolve({ kind: 'picked', ...picked, started: () => undefined, finish });
    },
    charge: () => Promise.resolve({ use: () => undefined, refund: () => void steps.push('refund') }),
    refreshList: () => Promise.resolve(),
    reasonNotToWrite: () => undefined,
    takeRetry: () => true,
    ...changes,
  };
  const search = new ReplacementSearch({
    clock,
    random: () => 0.5,
    paths: { state: () => 'working' },
    fleetPaths: { isCutOff: () => false },
    responsiveness: {
      answers: ({ id }) => Promise.resolve(answering.includes(id)),
      anyAnswersBut: () => Promise.resolve(answering.length > 0),
    },
    hops: {
      openForTakeover: ({ id }) => {
        steps.push(`open ${id}`);
        return Promise.resolve('no-connection');
      },
    },
    backend: backend('a'),
    service: SERVICE,
    excludedRelays: new Set(),
    request,
    onObstacle: (obstacle) => obstacles.push(obstacle),
    onFound: () => steps.push('found'),
    onDefect: (cause) => steps.push(`defect ${String(cause)}`),
  });
  return { clock, search, steps, obstacles };
}

// The quota was asked last, so that each try opened a connection for a request that may not be sent.
test('a search opens no connection for a request whose tenant has no quota left', async (t) => {
  const { clock, search, steps, obstacles } = newSearch({ charge: () => Promise.resolve(undefined) });
  search.start();
  await clock.runUntil(WAIT_MS);
  search.cancel();
  t.deepEqual(obstacles, ['over-quota']);
  t.deepEqual([...new Set(steps)], ['pick b', 'finish b cancelled']);
});

// A slot was taken for each try although no retry was left.
test('a search takes no slot for a request that may not be sent again', async (t) => {
  const { clock, search, steps, obstacles } = newSearch({ obstacle: () => 'no-retry-budget' });
  search.start();
  await clock.runUntil(WAIT_MS);
  search.cancel();
  t.deepEqual(obstacles, ['no-retry-budget']);
  t.deepEqual(steps, []);
});

// All searches of a node asked the leader for slots at backends that were as silent as their own.
test('a search takes no slot while no other backend answers', async (t) => {
  const { clock, search, steps, obstacles } = newSearch({}, []);
  search.start();
  await clock.runUntil(WAIT_MS);
  search.cancel();
  t.deepEqual(obstacles, ['all-silent']);
  t.deepEqual(steps, []);
});

test('a search gives back, last things first, what it took when the connection can not be opened', async (t) => {
  const { clock, search, steps } = newSearch({}, ['c']);
  search.start();
  await clock.runUntil(1);
  search.cancel();
  t.deepEqual(steps, ['pick b', 'finish b cancelled', 'pick c', 'open c', 'refund', 'finish c cancelled']);
});

// A defect of one try ended the search for good, and kept the slot that it had been granted.
test('a search goes on after a defect and gives back what it took before it', async (t) => {
  const { clock, search, steps } = newSearch({ charge: () => Promise.reject(new Error('defect')) });
  search.start();
  await clock.runUntil(WAIT_MS);
  search.cancel();
  t.deepEqual(steps.slice(0, 3), ['pick b', 'defect Error: defect', 'finish b cancelled']);
  t.true(steps.length > 3);
});

test('a search that is cancelled while it waits for its slot gives that back', async (t) => {
  const { clock, search, steps } = newSearch({});
  search.start();
  search.cancel();
  await clock.runUntil(WAIT_MS);
  t.deepEqual(
    steps.filter((step) => step === 'found' || step.startsWith('open')),
    [],
  );
  t.is(
    steps.filter((step) => step.startsWith('pick')).length,
    steps.filter((step) => step.startsWith('finish')).length,
  );
});

// The slot was kept until the quota, the connection and the backend list had answered.
test('a search that is cancelled frees its slot at once', async (t) => {
  const { clock, search, steps } = newSearch({ charge: () => new Promise(() => undefined) });
  search.start();
  await clock.runUntil(1);
  t.deepEqual(steps, ['pick b']);
  search.cancel();
  t.deepEqual(steps, ['pick b', 'finish b cancelled']);
});
