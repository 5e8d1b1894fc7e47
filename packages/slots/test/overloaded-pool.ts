import { Random } from '@canvasridge/clock';
import type { DisabledMechanisms, PoolRequest } from '../src/index.js';
import { PoolUnderTest, backend } from './new-backend-pool.js';

/** Requests of one kind that arrive at random. */
export interface Kind {
  readonly perSecond: number;
  readonly request: Partial<PoolRequest>;
}

/** What became of the requests of one kind, as shares of all of them. */
export interface KindShares {
  asked: number;
  /** Granted a slot in time for their response to arrive before their timeout. */
  served: number;
  inTime: number;
}

export interface Overload<Name extends string> {
  readonly kinds: Readonly<Record<Name, Kind>>;
  readonly backends: number;
  readonly serviceMs: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly disabled?: DisabledMechanisms;
}

const STEP_MS = 5;
const DEFAULT_OBJECTIVE_MS = 400;
const DEFAULT_TIMEOUT_MS = 2000;

/** Sends a pool of plain backends more requests than it has slots for, and returns what became of each kind. */
export async function playOverload<Name extends string>(
  overload: Overload<Name>,
): Promise<Record<Name, KindShares>> {
  const { kinds, serviceMs, durationMs, seed, disabled } = overload;
  const backends = Array.from({ length: overload.backends }, (_, index) => backend(`b${index}`));
  const setup = new PoolUnderTest(backends, undefined, disabled);
  const { clock, pool } = setup;
  const random = new Random(seed);
  const names = Object.keys(kinds) as Name[];
  const shares = Object.fromEntries(
    names.map((name) => [name, { asked: 0, served: 0, inTime: 0 }]),
  ) as Record<Name, KindShares>;
  const waiting = new Map<string, { name: Name; sentMs: number }>();
  const releaseGranted = (): void => {
    for (const [id, { name, sentMs }] of waiting) {
      if (setup.decisions.get(id) === undefined) continue;
      waiting.delete(id);
      if (setup.grantedTo(id) === undefined) continue;
      clock.setTimer(serviceMs, () => pool.release(id, 'served'));
      const endMs = clock.now() - sentMs + serviceMs;
      const { timeoutMs = DEFAULT_TIMEOUT_MS, objectiveMs = DEFAULT_OBJECTIVE_MS } = kinds[name].request;
      if (endMs <= timeoutMs) shares[name].served += 1;
      if (endMs <= objectiveMs) shares[name].inTime += 1;
    }
  };
  while (clock.now() < durationMs) {
    for (const name of names) {
      if (random.next() >= (kinds[name].perSecond * STEP_MS) / 1000) continue;
      waiting.set(setup.ask(kinds[name].request), { name, sentMs: clock.now() });
      shares[name].asked += 1;
    }
    releaseGranted();
    await clock.runUntil(clock.now() + STEP_MS);
  }
  for (const name of names) {
    shares[name].served /= shares[name].asked;
    shares[name].inTime /= shares[name].asked;
  }
  return shares;
}
