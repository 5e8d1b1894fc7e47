import test from 'ava';
import { RequestKeys, formatHome } from '@canvasridge/admission';
import { VirtualClock } from '@canvasridge/clock';
import type { Member } from '@canvasridge/membership';
import { KeyProtocol } from '../src/requests/key-protocol.js';

function newProtocol(processToken: string): { keys: RequestKeys; protocol: KeyProtocol } {
  const clock = new VirtualClock();
  const keys = new RequestKeys(clock);
  const self: Member = {
    id: 'node-a',
    zone: 'z',
    region: 'r',
    gossip: '',
    peerUrl: '',
    callerUrl: '',
    capacity: 0,
    processToken,
    incarnation: 1,
    state: 'alive',
  };
  const caller = { call: () => Promise.reject(new Error('unexpected call to a peer')) };
  const delegated = new RequestKeys(clock);
  return {
    keys,
    protocol: new KeyProtocol({ self: () => self, member: () => undefined, caller, keys, delegated }),
  };
}

function homeOf(processToken: string, epoch: number): string {
  return formatHome({ nodeId: 'node-a', processToken, epoch });
}

test('a process transfers a key whose home token names it to one process only', (t) => {
  const { keys, protocol } = newProtocol('first');
  const home = homeOf('first', keys.epoch());
  t.is(protocol.handleTransfer({ home, key: 'k', process: 'node-b~x' }).transfer, 'granted');
  t.is(protocol.handleTransfer({ home, key: 'k', process: 'node-c~y' }).transfer, 'elsewhere');
});

test('a process restarted at the same address does not transfer keys of its predecessor', (t) => {
  const { keys, protocol: restarted } = newProtocol('second');
  const home = homeOf('first', keys.epoch());
  t.is(restarted.handleTransfer({ home, key: 'k', process: 'node-b~x' }).transfer, 'unknown');
});
