/** What a node tells the leader of a pool of an engine that told it that it leaves. */
import { FleetState } from '@canvasridge/serving';
import test from 'ava';
import { SlotAnswers } from '../src/cluster/slot-answers.js';
import type { ReleaseParams } from '../src/cluster/slot-protocol.js';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PeerConnection } from '../src/peers/peer-connection.js';

const PEER = {} as PeerConnection;
const RELEASE = { pool: 'llm', requestId: 'r1', outcome: 'served' };

function releaseWith(told: object): FleetState {
  const fleet = new FleetState();
  fleet.applyBackend(1, {
    id: 'e1',
    service: 'llm',
    address: 'e1:1',
    zone: 'a',
    state: 'ready',
    slots: 8,
    models: [],
  });
  const answers = new SlotAnswers({ fleet, cluster: {} as Cluster, pools: new Map() });
  answers.onRelease({ ...RELEASE, ...told } as ReleaseParams, PEER);
  return fleet;
}

test('the leader takes an engine for leaving once a node has told it so with the end of a request', (t) => {
  t.true(releaseWith({ leaving: 'e1' }).isLeaving('e1'));
});

test('a release as a node of an earlier build sends it, and one whose field is of another kind, change nothing', (t) => {
  for (const told of [{}, { leaving: true }, { leaving: null }, { leaving: { id: 'e1' } }]) {
    t.false(releaseWith(told).isLeaving('e1'), JSON.stringify(told));
  }
});
