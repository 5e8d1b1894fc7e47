import test from 'ava';
import { requestFingerprint } from '../src/request/request-fingerprint.js';

const PARTS = { host: 'A.example', target: '/x/1?q=2', tenant: 'blue', body: Buffer.from('question') };

test('a request that is sent again has the same fingerprint, whatever the case of its host', (t) => {
  t.is(requestFingerprint({ ...PARTS, host: 'a.example' }), requestFingerprint(PARTS));
});

test('another path, caller or body gives another fingerprint, also where the parts joined are the same', (t) => {
  const fingerprints = [
    PARTS,
    { ...PARTS, target: '/x/1' },
    { ...PARTS, tenant: undefined },
    { ...PARTS, tenant: 'red' },
    { ...PARTS, body: Buffer.from('question2') },
    { ...PARTS, target: '/x/1?q=2blue', tenant: undefined },
    { ...PARTS, tenant: 'blueques', body: Buffer.from('tion') },
  ].map(requestFingerprint);
  t.is(new Set(fingerprints).size, fingerprints.length);
});
