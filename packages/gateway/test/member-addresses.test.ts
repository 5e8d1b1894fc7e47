/** Members that announce addresses to which no connection can be opened. */
import { Random, VirtualClock } from '@canvasridge/clock';
import { encodeMessage } from '@canvasridge/membership';
import { EventLogger, Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { Cluster } from '../src/cluster/cluster.js';

const SELF = '127.0.0.1:7103';
const SECOND_MS = 1000;
const ALIVE = 0;
const MEMBER = 1;

// Guards against connections to such an address, which throw, and against a silent omission.
test('a member with unusable addresses is known, but is named to nobody who connects, and is logged once', async (t) => {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const versions: string[] = [];
  const logger = new EventLogger('test', 'info', (line) => lines.push(line));
  let receive: (from: string, bytes: Uint8Array) => void = () => undefined;
  const cluster = new Cluster({
    nodeId: 'n1',
    zone: 'a',
    region: 'r',
    peerAddress: SELF,
    frontAddress: '127.0.0.1:7100',
    processToken: 'p1',
    capacity: 1,
    transport: {
      localAddress: SELF,
      send: () => undefined,
      onMessage: (receiver: typeof receive) => {
        receive = receiver;
      },
      close: () => undefined,
    },
    clock,
    random: new Random(1),
    telemetry: new Telemetry({ processName: 'test', clock, logger }),
    seeds: () => [],
    configurationVersion: () => 0,
    onPeerVersion: (address) => versions.push(address),
    onQuarantine: () => undefined,
  });
  cluster.start();
  const announce = (id: string, address: string): void => {
    const update = [MEMBER, id, 1, ALIVE, 'a', 'r', address, address, address, `p-${id}`, 1];
    receive(
      '127.0.0.1:9',
      encodeMessage({ kind: 'gossip', sender: id, revision: 7, sequence: 0, target: '', updates: [update] }),
    );
  };
  const announceAll = (): void => {
    announce('n2', '127.0.0.1:7203');
    announce('n3', '127.0.0.1:70000');
    announce('n4', '300.0.0.1:80');
  };
  announceAll();
  t.deepEqual(
    cluster
      .serving()
      .map(({ id }) => id)
      .sort(),
    ['n1', 'n2', 'n3', 'n4'],
  );
  t.deepEqual(cluster.peerAddresses(), ['127.0.0.1:7203']);
  t.deepEqual([...new Set(versions)], ['127.0.0.1:7203']);
  await clock.runUntil(SECOND_MS);
  announceAll();
  const unread = lines.filter((line) => line.includes('peer.address-unread'));
  t.is(unread.length, 6, 'one line for each of three addresses of two members');
  cluster.stop();
});
