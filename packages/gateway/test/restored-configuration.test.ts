import { VirtualClock } from '@canvasridge/clock';
import { FleetState, type ServingConfiguration } from '@canvasridge/serving';
import test from 'ava';
import { ConfigurationFreshness } from '../src/index.js';

/** Time for which a store that was restored from a copy may lack what operators wrote. */
const RETURN_MS = 2000;

function configuration(version: number): ServingConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], limits, tenants: undefined };
}

class Node {
  readonly clock = new VirtualClock();
  readonly state = new FleetState();
  readonly freshness = new ConfigurationFreshness(this.clock, this.state);

  constructor() {
    this.state.enterEra(1);
    this.state.applyConfiguration(configuration(3));
    this.state.replaceBackends(1, []);
    this.freshness.confirm(3, 0);
  }
}

// Guards against accepting keys of a configuration whose successor the store accepted and then lost.
test('a store restored from a copy confirms the version in force only after the time by which a lost one is written again', async (t) => {
  const { clock, state, freshness } = new Node();
  await clock.runUntil(1000);
  state.enterEra(2);
  freshness.confirm(3, 1000);
  t.is(freshness.ageMs, 1000);
  await clock.runUntil(1000 + RETURN_MS - 1);
  freshness.confirm(3, clock.now());
  t.is(freshness.ageMs, 1000 + RETURN_MS - 1);
  await clock.runUntil(1000 + RETURN_MS);
  freshness.confirm(3, clock.now());
  t.is(freshness.ageMs, 0);
});

test('a version newer than the one in force at the restore is confirmed at once', async (t) => {
  const { clock, state, freshness } = new Node();
  await clock.runUntil(1000);
  state.enterEra(2);
  state.applyConfiguration(configuration(4));
  freshness.confirm(4, 1000);
  t.is(freshness.ageMs, 0);
});

// Guards against a node that reads an older configuration, for example from a copy, while others have a newer
// one in force.
test('a version is not confirmed once a node has announced a newer one', async (t) => {
  const { clock, state, freshness } = new Node();
  await clock.runUntil(500);
  freshness.onVersionSeen(5);
  freshness.confirm(3, 400);
  t.is(freshness.ageMs, 100, 'it was the newest until then, as far as this node knows');
  await clock.runUntil(600);
  freshness.confirm(3, 600);
  freshness.onVersionSeen(6);
  freshness.confirm(3, 600);
  t.is(freshness.ageMs, 200);
  state.applyConfiguration(configuration(6));
  freshness.confirm(6, 600);
  t.is(freshness.ageMs, 0);
});
