/**
 * Records the messages with which nodes of this build exchange the published state, as
 * packages/gateway/test/recorded/COMMIT.json. Compatibility: later builds have to read these messages, and to
 * send messages that this build can read.
 * Usage, after `npm run build`: node scripts/record-peer-messages.mjs COMMIT
 */
import { writeFileSync } from 'node:fs';
import { URL } from 'node:url';
import { peerMessages } from '../packages/gateway/dist/test/peer-messages.js';

const [commit] = process.argv.slice(2);
if (commit === undefined || !/^[0-9a-f]{7,40}$/.test(commit)) {
  process.stderr.write('usage: node scripts/record-peer-messages.mjs COMMIT\n');
  process.exit(2);
}
const file = new URL(`../packages/gateway/test/recorded/${commit}.json`, import.meta.url);
writeFileSync(file, `${JSON.stringify(await peerMessages(), null, 2)}\n`);
