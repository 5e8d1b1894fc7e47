/** How fast the events of a stream came, as a node reports it to the leader of a pool with the end of a request. */
import { FleetState } from '@canvasridge/serving';
import type { SlotPool, StreamProgress } from '@canvasridge/slots';
import test from 'ava';
import type { Cluster } from '../src/cluster/cluster.js';
import type { PoolEntry } from '../src/cluster/pool-entry.js';
import { SlotAnswers } from '../src/cluster/slot-answers.js';
import { releaseParams } from '../src/cluster/slot-protocol.js';
import type { PeerConnection } from '../src/peers/peer-connection.js';

const RELEASE = { pool: 'llm', requestId: 'r1', outcome: 'served' };

/** What the pool is told for a release with these fields. */
function released(extra: object): { outcome: string; progress: StreamProgress | undefined }[] {
  const calls: { outcome: string; progress: StreamProgress | undefined }[] = [];
  const pool = {
    release: (_id: string, outcome: string, progress?: StreamProgress) => calls.push({ outcome, progress }),
  } as unknown as SlotPool;
  const pools = new Map([['llm', { pool, leading: true } as unknown as PoolEntry]]);
  const answers = new SlotAnswers({ fleet: new FleetState(), cluster: {} as Cluster, pools });
  answers.onRelease(releaseParams.parse({ ...RELEASE, ...extra }), {} as PeerConnection);
  return calls;
}

test('the leader learns from the progress of a stream', (t) => {
  const progress = { events: 35, spanMs: 1500 };
  t.deepEqual(released({ progress }), [{ outcome: 'served', progress }]);
});

// Guards against a release that is lost, or a pace that is spoilt, because of a field of another build.
test('a release without progress, or with malformed progress, still ends the request', (t) => {
  const malformed = [
    undefined,
    null,
    7,
    [],
    {},
    { events: 3 },
    { events: 0, spanMs: 5 },
    { events: 1.5, spanMs: 5 },
    { events: 3, spanMs: -1 },
    { events: 3, spanMs: 'x' },
    { events: 3, spanMs: null },
    { events: 1e12, spanMs: 5 },
  ];
  for (const progress of malformed) {
    t.deepEqual(
      released({ progress }),
      [{ outcome: 'served', progress: undefined }],
      JSON.stringify(progress),
    );
  }
});
