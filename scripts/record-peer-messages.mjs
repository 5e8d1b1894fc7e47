/**
 * Records the messages by which nodes of this build tell each other of the published state, to be kept as
 * packages/gateway/test/recorded/COMMIT.json: later builds have to read them, and to send what this one reads.
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
