import test from 'ava';
import { RequestKeys, formatHome } from '@canvasridge/admission';
import { VirtualClock } from '@canvasridge/clock';
import type { Member } from '@canvasridge/membership';
import { KeyProtocol } from '../src/requests/key-protocol.js';

function protocol(processToken: string): { keys: RequestKeys; protocol: KeyProtocol } {
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
  const caller = { call: () => Promise.reject(new Error('no peer is called')) };
  const delegated = new RequestKeys(clock);
  return {
    keys,
    protocol: new KeyProtocol({ self: () => self, member: () => undefined, caller, keys, delegated }),
  };
}

function homeOf(processToken: string, epoch: number): string {
  return formatHome({ nodeId: 'node-a', processToken, epoch });
}

test('a process hands out the keys of its own homes', (t) => {
  const { keys, protocol: own } = protocol('first');
  const home = homeOf('first', keys.epoch());
  t.is(own.handleTransfer({ home, key: 'k', process: 'node-b~x' }).transfer, 'granted');
  t.is(own.handleTransfer({ home, key: 'k', process: 'node-c~y' }).transfer, 'elsewhere');
});

test('a process restarted at the same address does not hand out the keys of the one before it', (t) => {
  const { keys, protocol: restarted } = protocol('second');
  const home = homeOf('first', keys.epoch());
  t.is(restarted.handleTransfer({ home, key: 'k', process: 'node-b~x' }).transfer, 'unknown');
});
