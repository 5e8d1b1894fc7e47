import { socketAddress } from '@canvasridge/addresses';
import { Random, VirtualClock } from '@canvasridge/clock';
import { FleetState, type BackendDescription } from '@canvasridge/serving';
import type { SlotDecision } from '@canvasridge/slots';
import { Telemetry } from '@canvasridge/telemetry';
import { ConfigurationParts } from '../src/cluster/configuration-parts.js';
import { SlotAnswers, type SlotAnswersOptions } from '../src/cluster/slot-answers.js';
import { SNAPSHOT_METHOD, StateExchange, snapshotFor } from '../src/cluster/state-exchange.js';
import { ConfigurationFreshness, FOLLOW_METHOD, PART_METHOD, StateFollower } from '../src/index.js';
import { BARE_CONFIGURATION, NOTHING_WAITS, followerOptions } from './follower-options.js';
import { addressOf } from './peer-addresses.js';

const MODELS = [{ name: 'base', adapters: [{ name: 'a1', version: 2 }] }];
const NOTHING_KNOWN = { backendsRevision: 0, routingDigest: 0, operatorRevision: 0, operatorDigest: 0 };

function backend(id: string, state: 'ready' | 'draining'): BackendDescription {
  return {
    id,
    service: 'llm',
    address: socketAddress('127.0.0.1:1'),
    zone: 'z',
    state,
    slots: 4,
    models: MODELS,
  };
}

/** A node's state that contains an entry of each kind. */
export function publishedState(): FleetState {
  const fleet = new FleetState();
  fleet.applyConfiguration(BARE_CONFIGURATION);
  fleet.applyAdapterVersion({ model: 'base', adapter: 'a1', version: 2 });
  fleet.advanceOperatorRevision(8);
  fleet.replaceBackends(10, [
    { revision: 5, value: backend('e1', 'ready') },
    { revision: 9, value: backend('e2', 'draining') },
  ]);
  return fleet;
}

/**
 * One message of each kind that carries published state between nodes, or grants a slot based on it, as this
 * build sends it.
 */
export async function peerMessages(): Promise<Record<string, unknown>> {
  const clock = new VirtualClock();
  await clock.runUntil(1000);
  const fleet = publishedState();
  const freshness = new ConfigurationFreshness(clock, fleet);
  freshness.confirm(BARE_CONFIGURATION.version, 900);
  const messages: Record<string, unknown> = {};
  const ids = Array.from({ length: 40 }, (_, index) => `node-${index}`);
  const follower = new StateFollower({
    ...followerOptions({
      clock,
      fleet,
      ids,
      selfId: 'node-39',
      drainMs: 3000,
      answer: (_address, known) => {
        messages[`${FOLLOW_METHOD} params`] = known;
        return undefined;
      },
    }),
    freshness,
  });
  follower.onStoreAnswered(950);
  messages[`${FOLLOW_METHOD} answer`] = follower.answer(NOTHING_KNOWN, NOTHING_WAITS);
  follower.start();
  const exchange = new StateExchange({
    clock,
    fleet,
    freshness,
    random: new Random(1),
    telemetry: new Telemetry({ processName: 'test', clock }),
    network: {
      to: () => ({
        call: (_method, params) => {
          messages[`${SNAPSHOT_METHOD} params`] = params;
          return Promise.resolve(undefined);
        },
      }),
    },
    peers: () => [addressOf('node-1')],
    onConfigurationOffered: () => undefined,
  });
  exchange.start();
  await clock.runUntil(2000);
  follower.stop();
  exchange.stop();
  messages[`${SNAPSHOT_METHOD} answer`] = snapshotFor(fleet, freshness, NOTHING_KNOWN, NOTHING_WAITS);
  messages[`${PART_METHOD} answer`] = new ConfigurationParts(fleet).answer(
    { above: 0, offset: 0 },
    NOTHING_WAITS,
  );
  messages['slots.acquire answer'] = granted(fleet);
  return JSON.parse(JSON.stringify(messages)) as Record<string, unknown>;
}

/** The answer of a pool's leader that grants an engine at once. */
function granted(fleet: FleetState): unknown {
  const decision: SlotDecision = {
    kind: 'granted',
    requestId: 'r1',
    backendId: 'e1',
    address: socketAddress('127.0.0.1:1'),
    ratePerSecond: 1.5,
  };
  const pool = { acquire: (_request: unknown, decide: (decision: SlotDecision) => void) => decide(decision) };
  const pools = new Map([['llm', { leading: true, pool }]]) as unknown as SlotAnswersOptions['pools'];
  const answers = new SlotAnswers({ fleet, cluster: {} as SlotAnswersOptions['cluster'], pools });
  const params = { pool: 'llm', request: { id: 'r1' } } as Parameters<SlotAnswers['onAcquire']>[0];
  return answers.onAcquire(params, {} as Parameters<SlotAnswers['onAcquire']>[1]);
}
