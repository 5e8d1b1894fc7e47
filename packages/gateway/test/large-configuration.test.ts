/**
 * Seen in production: a configuration of some hundred kilobytes was published in a fleet of 83 nodes. The
 * readers of the store ran out of memory, most nodes still routed by older versions seconds later, and valid
 * requests ended with 404.
 *
 * Followers were sent the whole configuration as one answer. On a link of 7 to 10 Mbit/s it took longer than
 * a follower waits for an answer, so each follower asked every reader again, twice a second; each time the
 * readers built and wrote all of it, and the followers dropped it as the answer to a request that had timed
 * out. Log lines of the bytes sent by method proved it, and so did this test: the followers' links were
 * permanently busy, and no follower ever got the configuration.
 */
import { VirtualClock } from '@canvasridge/clock';
import type { HttpRoute, ServingConfiguration } from '@canvasridge/serving';
import test from 'ava';
import { LinkedFleet } from './linked-fleet.js';

const NODES = 83;
const READERS = 6;
const ROUTES = 2400;
/** Time within which a configuration must be in force on every node. */
const APPLY_MS = 3000;
/** Upper limit of the bytes that a node may queue for its peers: a small part of a heap of 128 MB. */
const MAX_WAITING_BYTES = 8 * 1024 * 1024;

function route(index: number, version: number): HttpRoute {
  const name = `route-${index}-${(index * 7919 * version) % 104_729}`;
  return {
    name,
    host: 'service.example',
    pathPrefix: `/${name}/`,
    kind: 'stream',
    services: [{ service: 'llm', weight: 1 }],
    timeoutMs: 5000,
    patienceMs: 4000,
    objectiveMs: 1000,
    priority: 1,
    attempts: 2,
    resumable: true,
    isPublic: false,
  };
}

function configuration(version: number, routes: number): ServingConfiguration {
  return {
    version,
    routes: Array.from({ length: routes }, (_, index) => route(index, version)),
    services: [],
    limits: { maxHeaderBytes: 8192, maxBodyBytes: 65_536, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
    tenants: undefined,
  };
}

function fleet(clock: VirtualClock): LinkedFleet {
  return new LinkedFleet(clock, { nodes: NODES, readers: READERS, first: configuration(3, 5) });
}

test('a configuration of half a megabyte reaches every node of a large fleet in time', async (t) => {
  const clock = new VirtualClock();
  const nodes = fleet(clock);
  await clock.runUntil(3000);
  const large = configuration(4, ROUTES);
  const documentBytes = JSON.stringify(large).length;
  t.true(documentBytes > 500_000);
  nodes.publish(large);
  await clock.runUntil(3000 + APPLY_MS);
  t.deepEqual(nodes.versions(), new Array(NODES).fill(4));
  t.true(nodes.maxWaitingBytes() < MAX_WAITING_BYTES, `waited ${nodes.maxWaitingBytes()} bytes`);
  const wholeCopies = nodes.sentBytes() / documentBytes;
  t.true(wholeCopies < NODES, `sent ${wholeCopies.toFixed(1)} times the configuration`);
});

test('after configurations of half a megabyte each in quick succession, the newest is in force in time', async (t) => {
  const clock = new VirtualClock();
  const nodes = fleet(clock);
  await clock.runUntil(3000);
  for (let version = 4; version <= 9; version += 1) {
    nodes.publish(configuration(version, ROUTES));
    await clock.runUntil(clock.now() + 250);
  }
  await clock.runUntil(clock.now() + APPLY_MS);
  t.deepEqual(nodes.versions(), new Array(NODES).fill(9));
  t.true(nodes.maxWaitingBytes() < MAX_WAITING_BYTES, `waited ${nodes.maxWaitingBytes()} bytes`);
});

test('readers that stop answering while they send a configuration delay no follower', async (t) => {
  const clock = new VirtualClock();
  const nodes = fleet(clock);
  await clock.runUntil(3000);
  nodes.publish(configuration(4, ROUTES));
  await clock.runUntil(3150);
  for (let reader = 0; reader < READERS / 2; reader += 1) nodes.silence(reader);
  await clock.runUntil(3000 + APPLY_MS);
  t.deepEqual(nodes.versions().slice(READERS / 2), new Array(NODES - READERS / 2).fill(4));
});
