import { socketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription } from '@canvasridge/serving';
import type { PoolRequest, SlotDecision, UseOutcome } from '@canvasridge/slots';
import test from 'ava';
import { BackendAvailability } from '../src/backends/backend-availability.js';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { GrantedBackendPicker, type PlainSlotSource } from '../src/backends/granted-backend-picker.js';
import { LeastLoadedPicker } from '../src/backends/least-loaded-picker.js';
import { noRateLimits } from './no-rate-limits.js';
import { newContext } from './scarce-backends-simulation.js';
import { SERVICE } from './simulated-leader.js';

/** A leader that grants the first backend that is not excluded, or does not answer. */
class Leader implements PlainSlotSource {
  readonly asked: PoolRequest[] = [];
  readonly reported: string[] = [];
  granted = true;
  answer: 'grants' | 'refuses' | 'silent' = 'grants';
  whileWaiting: () => void = () => undefined;
  ownLimit: number | undefined;
  running = 0;

  isGranted(): boolean {
    return this.granted;
  }

  acquirePlain(_pool: string, request: PoolRequest): Promise<SlotDecision | undefined> {
    this.asked.push(request);
    this.whileWaiting();
    const { id: requestId, excluded } = request;
    if (this.answer === 'silent') return Promise.resolve(undefined);
    if (this.answer === 'refuses')
      return Promise.resolve({ kind: 'refused', requestId, reason: 'no-slot-in-time', retryAfterMs: 70 });
    const backendId = ['a', 'b'].find((id) => !excluded.includes(id)) ?? 'none';
    return Promise.resolve({ kind: 'granted', requestId, backendId, address: socketAddress('10.0.0.1:1') });
  }

  maxWithoutGrant(): number | undefined {
    return this.ownLimit;
  }

  runningOn(): number {
    return this.running;
  }

  startedWithoutGrant(_pool: string, request: PoolRequest, backendId: string): void {
    this.reported.push(`${request.id} on ${backendId}`);
  }

  release(_pool: string, requestId: string, outcome: UseOutcome): void {
    this.reported.push(`${requestId} ${outcome}`);
  }
}

function backend(id: string): BackendDescription {
  return {
    id,
    service: SERVICE,
    address: socketAddress('10.0.0.1:1'),
    zone: 'z',
    state: 'ready',
    slots: 2,
    models: [],
  };
}

interface Setup {
  readonly leader: Leader;
  readonly fleet: FleetState;
  readonly backoffs: BackendBackoffs;
  readonly picker: GrantedBackendPicker;
}

function newSetup(newRateLimits = noRateLimits): Setup {
  const clock = new VirtualClock();
  const fleet = new FleetState();
  fleet.applyBackend(1, backend('a'));
  fleet.applyBackend(2, backend('b'));
  const backoffs = new BackendBackoffs(clock);
  const rateLimits = newRateLimits(clock);
  const options = { fleet, backoffs, rateLimits, clock, hasOtherServingNodes: () => true };
  const availability = new BackendAvailability(options);
  const leader = new Leader();
  const own = new LeastLoadedPicker(fleet, availability, clock, new Random(1));
  const picker = new GrantedBackendPicker(fleet, availability, leader, own, clock, 'z');
  return { leader, fleet, backoffs, picker };
}

const NOT_CANCELLED = new AbortController().signal;

test('A granted backend is used, and the leader is told of the end', async (t) => {
  const { picker, leader } = newSetup();
  const picked = await picker.pick(newContext('r1'), NOT_CANCELLED);
  t.like(picked, { kind: 'picked', how: 'granted', backend: { id: 'a' } });
  t.is(leader.asked[0]?.zone, 'z');
  if (picked.kind === 'picked') picked.finish('served');
  t.deepEqual(leader.reported, ['r1 served']);
});

test('Without an answer this node chooses itself, and a later leader learns of the request and its end', async (t) => {
  const { picker, leader } = newSetup();
  leader.answer = 'silent';
  const picked = await picker.pick(newContext('r1', { excluded: ['a'] }), NOT_CANCELLED);
  t.like(picked, { kind: 'picked', how: 'least-loaded', backend: { id: 'b' } });
  if (picked.kind === 'picked') picked.finish('failed');
  t.deepEqual(leader.reported, ['r1 on b', 'r1 failed']);
});

// Without it the leader counted a search that was given up as a request that got no slot.
test('The leader is told that a request looks for another backend while its own is silent', async (t) => {
  const { picker, leader } = newSetup();
  await picker.pick({ ...newContext('r1'), isTakeover: true }, NOT_CANCELLED);
  await picker.pick(newContext('r2'), NOT_CANCELLED);
  t.deepEqual(
    leader.asked.map(({ isTakeover }) => isTakeover),
    [true, undefined],
  );
});

// Without a leader, all nodes together sent such backends more than they have slots, which then turned the rest away.
test('Without an answer this node sends no more than its part to backends that fail when they turn many away', async (t) => {
  const { picker, leader } = newSetup();
  leader.answer = 'silent';
  leader.ownLimit = 2;
  leader.running = 1;
  t.like(await picker.pick(newContext('r1'), NOT_CANCELLED), { kind: 'picked' });
  leader.running = 2;
  t.like(await picker.pick(newContext('r2'), NOT_CANCELLED), { kind: 'none', reason: 'no-grant' });
});

test('The refusal of a leader and its estimate reach the client', async (t) => {
  const { picker, leader } = newSetup();
  leader.answer = 'refuses';
  const picked = await picker.pick(newContext('r1'), NOT_CANCELLED);
  t.deepEqual(picked, { kind: 'none', reason: 'no-slot-in-time', retryAfterMs: 70 });
});

test('A service that is not granted is served without asking anyone', async (t) => {
  const { picker, leader } = newSetup();
  leader.granted = false;
  const picked = await picker.pick(newContext('r1'), NOT_CANCELLED);
  t.like(picked, { kind: 'picked', how: 'least-loaded' });
  t.deepEqual([leader.asked.length, leader.reported.length], [0, 0]);
});

test('A granted backend that this node knows to be leaving is given back, and another is asked for', async (t) => {
  const { picker, leader, fleet } = newSetup();
  leader.whileWaiting = () => fleet.recordAnnouncedShutdown('a', 'answer');
  const picked = await picker.pick(newContext('r1'), NOT_CANCELLED);
  t.like(picked, { kind: 'picked', backend: { id: 'b' } });
  t.deepEqual(leader.reported, ['r1 refused']);
});

test('A backend that asked this node to back off is not asked for, and other nodes may have the grant given back', async (t) => {
  const { picker, leader, backoffs } = newSetup();
  leader.whileWaiting = () => backoffs.record('a', 300);
  const picked = await picker.pick(newContext('r1'), NOT_CANCELLED);
  t.like(picked, { kind: 'picked', backend: { id: 'b' } });
  t.deepEqual(leader.reported, ['r1 cancelled']);
  await picker.pick(newContext('r2'), NOT_CANCELLED);
  t.deepEqual(leader.asked.at(-1)?.excluded, ['a']);
});

test('A granted backend whose rate limit is used up is given back, and another is asked for', async (t) => {
  const { picker, leader } = newSetup((clock) => {
    const admit = (): Promise<{ kind: 'refused'; retryAfterMs: number }> =>
      Promise.resolve({ kind: 'refused', retryAfterMs: 500 });
    const rateLimits = new BackendRateLimits({ clock, admit });
    rateLimits.recordNotice('a', 1.4, false);
    return rateLimits;
  });
  const picked = await picker.pick(newContext('r1'), NOT_CANCELLED);
  t.like(picked, { kind: 'picked', backend: { id: 'b' }, isChargedToRateLimit: false });
  t.deepEqual(leader.reported, ['r1 cancelled']);
});
