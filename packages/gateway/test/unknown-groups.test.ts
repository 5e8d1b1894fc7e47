/** A node is no home of groups that its configuration does not have. */
import { VirtualClock } from '@canvasridge/clock';
import { Telemetry } from '@canvasridge/telemetry';
import test from 'ava';
import { FleetQuotas, TENANT_QUOTAS } from '../src/index.js';
import { addressOf } from './peer-addresses.js';

const SUBJECTS = 65;

// Each group that a peer named got a lender of its own, which takes 25 KB before it lends anything.
test('loans of a group that is not known are answered as by no home', (t) => {
  const clock = new VirtualClock();
  const quotas = new FleetQuotas({
    kind: TENANT_QUOTAS,
    clock,
    cluster: { selfId: 'a', candidates: () => ['a'], peerAddress: addressOf, lostMembers: () => [] },
    network: { to: () => ({ call: () => Promise.resolve(undefined) }) },
    telemetry: new Telemetry({ processName: 'test', clock }),
    rules: () => ({ ratePerSecond: 10, burst: 40 }),
    subjectCount: () => SUBJECTS,
    fleetShare: () => 1,
  });
  const requests = [{ subject: 'tenant', needed: [1], ahead: 0, returned: 0, demand: 1 }];
  for (const group of [0, 1]) t.is(quotas.answer({ node: 'b', group, requests })?.[0]?.granted, 1);
  for (const group of [2, 65_535]) t.is(quotas.answer({ node: 'b', group, requests }), null);
});
