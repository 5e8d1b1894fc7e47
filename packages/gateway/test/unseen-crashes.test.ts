/**
 * Seen in production: a request that had crashed three backends was sent on while nodes were cut off from the backends
 * and several disruptions came at once. The node that ran it did not see, or did not live to report, some of the crashes.
 */
import test from 'ava';
import { CrashingRequestPlay, type PlayFault } from './crashing-request-play.js';

const FAULTS: readonly PlayFault[] = [
  'restart',
  'herd-kill',
  'rolling-restart',
  'cut-from-nodes',
  'cut-from-engines',
  'client-left',
];
const SEEDS = 70;
/** Sends that the platform allows later than its contact time after the third crash. */
const MAX_LATE_SENDS = 3;

// Guards against sending a request on because the crashes it caused were seen by nobody or forgotten with a node.
for (const nodes of [6, 12]) {
  test(`a request that crashes engines reaches them at most three times more, whichever of ${nodes} nodes and links fail`, async (t) => {
    t.timeout(120_000);
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const play = new CrashingRequestPlay(nodes, seed, FAULTS);
      await play.play();
      t.true(
        play.lateSends <= MAX_LATE_SENDS,
        `seed ${seed}: ${play.lateSends} late sends, ${play.crashes} crashes`,
      );
    }
  });
}
