import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import {
  BORROW_METHOD,
  FleetQuotas,
  TENANT_QUOTAS,
  type BorrowParams,
  type QuotaCluster,
} from '../src/index.js';
import { addressOf, idAt } from './peer-addresses.js';

const RULE = { ratePerSecond: 100, burst: 400 };
/** Units that a home has available when it starts: a quarter of the burst. */
const FIRST_UNITS = 100;

/** Nodes that see the same ranking of homes, in virtual time. */
class Nodes {
  readonly clock = new VirtualClock();
  readonly #quotas = new Map<string, FleetQuotas>();
  ranking: readonly string[];
  silent = new Set<string>();

  constructor(ids: readonly string[]) {
    this.ranking = ids;
    for (const id of ids) this.#quotas.set(id, this.#newNode(id));
  }

  get(id: string): FleetQuotas {
    const quotas = this.#quotas.get(id);
    if (quotas === undefined) throw new Error(`no node ${id}`);
    return quotas;
  }

  /** Sends this many requests of 10 units to a node at once; returns how many were admitted. */
  async admitted(id: string, count: number): Promise<number> {
    let admitted = 0;
    for (let index = 0; index < count; index += 1) {
      void this.get(id)
        .admit('tenant', 10)
        .then(({ kind }) => {
          if (kind === 'admitted') admitted += 1;
        });
    }
    await this.clock.runUntil(this.clock.now() + 400);
    return admitted;
  }

  #newNode(id: string): FleetQuotas {
    const { clock } = this;
    const cluster: QuotaCluster = {
      selfId: id,
      candidates: () => this.ranking,
      peerAddress: addressOf,
      lostMembers: () => [],
    };
    return new FleetQuotas({
      kind: TENANT_QUOTAS,
      clock,
      cluster,
      network: {
        to: (peer) => ({
          call: async (method, params, timeoutMs) => {
            const id = idAt(peer);
            const isLost = this.silent.has(id) || method !== BORROW_METHOD;
            await clock.sleep(isLost ? timeoutMs : 3);
            return isLost ? undefined : this.get(id).answer(params as BorrowParams);
          },
        }),
      },
      telemetry: new Telemetry({ processName: 'test', clock }),
      rules: () => RULE,
      subjectCount: () => 1,
      fleetShare: () => 1 / this.ranking.length,
    });
  }
}

test('the units that all nodes admit together stay within the quota', async (t) => {
  const nodes = new Nodes(['a', 'b', 'c']);
  const counts = await Promise.all(['a', 'b', 'c'].map((id) => nodes.admitted(id, 20)));
  const units = counts.reduce((sum, count) => sum + count, 0) * 10;
  t.true(units >= FIRST_UNITS && units <= FIRST_UNITS + 10, `${units} units`);
});

test('a node that is not the home lends nothing, and the borrower uses its own share of the rate', async (t) => {
  const nodes = new Nodes(['a', 'b', 'c']);
  t.is(nodes.get('b').answer({ node: 'c', group: 0, requests: [] }), null);
  nodes.silent.add('a');
  await nodes.clock.runUntil(3000);
  const atFirst = await nodes.admitted('c', 20);
  await nodes.clock.runUntil(nodes.clock.now() + 1000);
  const later = await nodes.admitted('c', 20);
  t.true(atFirst <= 4, `${atFirst} at once`);
  t.true(later >= 2 && later <= 6, `${later} of a third of 100 units a second`);
});

test('a node that becomes the home again starts anew, as it does not know what another home lent meanwhile', async (t) => {
  const nodes = new Nodes(['a', 'b']);
  nodes.get('a').update();
  await nodes.clock.runUntil(20_000);
  t.is(await nodes.admitted('a', 60), 40, 'the whole burst is available');
  nodes.ranking = ['b', 'a'];
  nodes.get('a').update();
  await nodes.clock.runUntil(60_000);
  nodes.ranking = ['a', 'b'];
  const again = await nodes.admitted('a', 60);
  t.true(again * 10 <= FIRST_UNITS + 10, `${again} admitted`);
});
