import { VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { FleetState, VersionGrace } from '../src/index.js';

const BOUND_MS = 1000;
const GRANT_MS = 300;
const SEND_MS = 500;

function setup(): { clock: VirtualClock; fleet: FleetState; grace: VersionGrace } {
  const clock = new VirtualClock();
  const fleet = new FleetState();
  return { clock, fleet, grace: new VersionGrace({ clock, fleet, boundMs: BOUND_MS }) };
}

const published = (version: number) => ({ model: 'm', adapter: 'x', version });

// Without it an adapter that was first asked for long after the publication still served its old version.
test('the time for which an outdated version may serve counts from the publication', async (t) => {
  const { clock, fleet, grace } = setup();
  fleet.applyAdapterVersion(published(1));
  fleet.applyAdapterVersion(published(2), 'change');
  t.is(grace.requiredToGrant('m', 'x'), 1);
  await clock.runUntil(GRANT_MS);
  t.is(grace.requiredToGrant('m', 'x'), 2);
  t.is(grace.requiredToSend('m', 'x'), 1, 'what a leader granted last is still sent');
  await clock.runUntil(SEND_MS);
  t.is(grace.requiredToSend('m', 'x'), 2);
});

test('each of several versions in succession has its own time', async (t) => {
  const { clock, fleet, grace } = setup();
  fleet.applyAdapterVersion(published(2), 'change');
  await clock.runUntil(400);
  fleet.applyAdapterVersion(published(3), 'change');
  t.is(grace.requiredToSend('m', 'x'), 0);
  await clock.runUntil(SEND_MS);
  t.is(grace.requiredToSend('m', 'x'), 2);
  await clock.runUntil(400 + SEND_MS);
  t.is(grace.requiredToSend('m', 'x'), 3);
});

// Without it a node that started, or read the store after a silence, served versions outdated for any time.
test('a version that was published at an unknown time is required at once', (t) => {
  const { fleet, grace } = setup();
  fleet.applyAdapterVersion(published(2), 'change');
  fleet.applyAdapterVersion(published(3), 'state');
  t.is(grace.requiredToGrant('m', 'x'), 3);
  t.is(grace.requiredToSend('m', 'x'), 3);
});
