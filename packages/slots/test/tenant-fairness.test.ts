/**
 * Guards against one tenant crowding out the others: it sends six times its usual load while still below its quota, so that
 * demand exceeds what the engines serve.
 *
 * The load: 16 tenants with Zipf-distributed rates, 400 requests per second in total, of a capacity of 420; the second
 * largest tenant surges. The same requests are scheduled in two ways. By deadline alone, all tenants lose equally. With
 * fair queueing, the other tenants are served as before and the surging one gets the remaining capacity.
 */
import { Random } from '@canvasridge/clock';
import test from 'ava';
import { WaitingList, type SlotRequest, type WaitingRequest } from '../src/index.js';

const TENANTS = 16;
const SURGING_TENANT = 1;
const SURGE_FACTOR = 6;
const USUAL_PER_SECOND = 400;
const SERVED_PER_SECOND = 420;
const OBJECTIVE_MS = 1000;
const STEP_MS = 10;
const RUN_MS = 8000;
/** A tenant is starved if its served share is below this fraction of the served share of all tenants. */
const STARVED_SHARE = 0.25;
const START_INTERVAL_MS = 1000 / SERVED_PER_SECOND;

interface Served {
  readonly asked: number[];
  readonly inTime: number[];
}

/** Requests per second of each tenant without the surge. */
function usualRates(): number[] {
  const weights = Array.from({ length: TENANTS }, (_, index) => 1 / (index + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight) => (weight / total) * USUAL_PER_SECOND);
}

function request(id: number, tenant: number): SlotRequest {
  const times = { objectiveMs: OBJECTIVE_MS, ageMs: 0, timeoutMs: 5000, startWithinMs: 4000 };
  const prompt = { promptTokens: 0, promptKey: undefined, excluded: [] };
  return {
    id: `r${id}`,
    traceId: `t${id}`,
    model: 'm',
    adapter: 'a',
    priority: 1,
    tenant: `tenant-${tenant}`,
    ...times,
    ...prompt,
  };
}

function waitingRequest(id: number, tenant: number, arrivedMs: number): WaitingRequest {
  const wait = { returned: false, decide: () => undefined, obstacle: 'none' } as const;
  return { request: request(id, tenant), arrivedMs, ...wait };
}

function simulate(list: WaitingList): Served {
  const random = new Random(3);
  const rates = usualRates().map((rate, tenant) => (tenant === SURGING_TENANT ? rate * SURGE_FACTOR : rate));
  const served: Served = { asked: rates.map(() => 0), inTime: rates.map(() => 0) };
  let nextId = 0;
  let capacity = 0;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    for (const [tenant, rate] of rates.entries()) {
      const arriving = Math.floor((rate * STEP_MS) / 1000 + random.next());
      served.asked[tenant] = (served.asked[tenant] ?? 0) + arriving;
      for (let index = 0; index < arriving; index += 1) {
        nextId += 1;
        list.add(waitingRequest(nextId, tenant, nowMs), nowMs);
      }
    }
    capacity += (SERVED_PER_SECOND * STEP_MS) / 1000;
    for (const waiting of list.inOrder(nowMs)) {
      const ageMs = nowMs - waiting.arrivedMs;
      if (ageMs > OBJECTIVE_MS) list.remove(waiting.request.id);
      else if (capacity >= 1) {
        capacity -= 1;
        list.granted(waiting.request.id, nowMs);
        const tenant = Number(waiting.request.tenant?.slice('tenant-'.length));
        served.inTime[tenant] = (served.inTime[tenant] ?? 0) + 1;
      }
    }
    capacity = Math.min(capacity, 1);
  }
  return served;
}

/** Fractions of requests served in time. */
interface ServedShares {
  /** Minimum over the tenants that do not surge. */
  readonly minOfOthers: number;
  readonly surging: number;
  readonly all: number;
}

function servedShares({ asked, inTime }: Served): ServedShares {
  const all = asked.map((count, tenant) => (inTime[tenant] ?? 0) / Math.max(count, 1));
  const others = all.filter((_, tenant) => tenant !== SURGING_TENANT);
  const total = (counts: readonly number[]): number => counts.reduce((sum, count) => sum + count, 0);
  return {
    minOfOthers: Math.min(...others),
    surging: all[SURGING_TENANT] ?? 0,
    all: total(inTime) / total(asked),
  };
}

test('tenants whose load does not change are served as before while another tenant surges', (t) => {
  const byDeadline = servedShares(simulate(new WaitingList(() => 0, new Set(['fair-tenants']))));
  const usual = usualRates();
  const weightOf = (tenant: string): number => usual[Number(tenant.slice('tenant-'.length))] ?? 1;
  const sharing = { gapMs: () => START_INTERVAL_MS, weightOf };
  const fairly = servedShares(simulate(new WaitingList(() => 0, new Set(), sharing)));
  t.log(
    `by deadline: minimum of others ${byDeadline.minOfOthers.toFixed(2)}, surging ${byDeadline.surging.toFixed(2)}`,
  );
  t.log(
    `fair queueing: minimum of others ${fairly.minOfOthers.toFixed(2)}, surging ${fairly.surging.toFixed(2)}`,
  );
  t.true(fairly.minOfOthers > 0.9);
  t.true(fairly.minOfOthers > byDeadline.minOfOthers);
  t.true(fairly.surging > STARVED_SHARE * fairly.all, 'the surging tenant is not starved either');
});
