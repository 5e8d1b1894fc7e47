/**
 * Messages of released builds, recorded as they were sent: nodes of two builds run side by side while a fleet
 * is upgraded.
 */
import { readFileSync, readdirSync } from 'node:fs';
import { VirtualClock } from '@canvasridge/clock';
import { FleetState, type FleetSnapshot } from '@canvasridge/serving';
import test from 'ava';
import { unpack, type PartReply } from '../src/cluster/configuration-parts.js';
import { StateFollower, type FollowAnswer } from '../src/index.js';
import { BARE_CONFIGURATION, followerOptions } from './follower-options.js';
import { peerMessages } from './peer-messages.js';

const FOLDER = new URL('../../test/recorded/', import.meta.url);
const BUILDS = readdirSync(FOLDER).map((file) => file.replace('.json', ''));
/** Fields whose values differ from run to run rather than from build to build. */
const FIGURES = /(AgeMs|ageMs|Digest|digest|data|totalBytes)$/;

type Messages = Record<string, unknown>;

function recorded(build: string): Messages {
  return JSON.parse(readFileSync(new URL(`${build}.json`, FOLDER), 'utf8')) as Messages;
}

/** Paths at which the current message lacks a value of the recorded one, or has another value. */
function differences(then: unknown, now: unknown, path: string): string[] {
  if (typeof then !== typeof now || Array.isArray(then) !== Array.isArray(now)) return [path];
  if (typeof then !== 'object' || then === null) {
    return then === now || FIGURES.test(path) ? [] : [path];
  }
  return Object.entries(then).flatMap(([key, value]) =>
    differences(value, (now as Record<string, unknown> | null)?.[key], `${path}.${key}`),
  );
}

for (const build of BUILDS) {
  // Guards against a change of a message that nodes of an earlier build can't read.
  test(`the messages of this build contain everything that a node of ${build} reads`, async (t) => {
    t.deepEqual(differences(recorded(build), await peerMessages(), ''), []);
  });

  // Guards against treating two equal lists as different, so that they would be sent again and again.
  test(`digests of the same state are equal to those of ${build}`, async (t) => {
    const [then, now] = [recorded(build), await peerMessages()].map(
      (messages) => messages['fleet.follow params'] as Record<string, unknown>,
    );
    t.is(now?.['routingDigest'], then?.['routingDigest']);
    t.is(now?.['operatorDigest'], then?.['operatorDigest']);
  });

  test(`a follower applies the answer of a reader of ${build}`, async (t) => {
    const clock = new VirtualClock();
    const fleet = new FleetState();
    fleet.enterEra(1);
    const ids = Array.from({ length: 40 }, (_, index) => `node-${index}`);
    const answer = recorded(build)['fleet.follow answer'] as FollowAnswer;
    const options = followerOptions({
      clock,
      fleet,
      ids,
      selfId: 'node-39',
      drainMs: 3000,
      answer: () => answer,
    });
    const follower = new StateFollower(options);
    follower.start();
    await clock.runUntil(1000);
    follower.stop();
    t.is(fleet.backend('e1')?.state, 'ready');
    t.is(fleet.backend('e2')?.state, 'draining');
    t.is(fleet.adapterVersion('base', 'a1'), 2);
    t.true(Number.isFinite(follower.listAgeMs));
  });

  test(`a node without the store applies the snapshot and the configuration of ${build}`, (t) => {
    const messages = recorded(build);
    const { snapshot } = messages['fleet.snapshot answer'] as { snapshot: FleetSnapshot };
    const fleet = new FleetState();
    fleet.merge(snapshot);
    t.is(fleet.backend('e2')?.state, 'draining');
    const part = messages['fleet.configuration-part answer'] as PartReply & { kind: 'part' };
    const configuration = unpack({ ...part, bytes: Buffer.from(part.data, 'base64') });
    t.is(configuration?.version, BARE_CONFIGURATION.version);
  });
}
