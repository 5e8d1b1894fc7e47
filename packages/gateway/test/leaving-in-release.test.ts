/** What a node reports to the leader of a pool about an engine that announced to it that it is leaving. */
import { socketAddress } from '@canvasridge/addresses';
import { FleetState } from '@canvasridge/serving';
import test from 'ava';
import { SlotAnswers } from '../src/cluster/slot-answers.js';
import { releaseParams } from '../src/cluster/slot-protocol.js';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PeerConnection } from '../src/peers/peer-connection.js';

const PEER = {} as PeerConnection;
const RELEASE = { pool: 'llm', requestId: 'r1', outcome: 'served' };

function stateAfterRelease(extra: object): FleetState {
  const fleet = new FleetState();
  fleet.applyBackend(1, {
    id: 'e1',
    service: 'llm',
    address: socketAddress('10.0.0.1:1'),
    zone: 'a',
    state: 'ready',
    slots: 8,
    models: [],
  });
  const answers = new SlotAnswers({ fleet, cluster: {} as Cluster, pools: new Map() });
  answers.onRelease(releaseParams.parse({ ...RELEASE, ...extra }), PEER);
  return fleet;
}

test('the leader considers an engine as leaving once a node has reported that with the end of a request', (t) => {
  t.true(stateAfterRelease({ leaving: 'e1' }).isLeaving('e1'));
});

test('a release as sent by an earlier build, and one whose field has another type, change nothing', (t) => {
  for (const extra of [{}, { leaving: true }, { leaving: null }, { leaving: { id: 'e1' } }]) {
    t.false(stateAfterRelease(extra).isLeaving('e1'), JSON.stringify(extra));
  }
});
