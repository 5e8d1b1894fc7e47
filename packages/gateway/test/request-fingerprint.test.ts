import test from 'ava';
import { requestFingerprint } from '../src/request/request-fingerprint.js';

const PARTS = { host: 'A.example', target: '/x/1?q=2', tenant: 'blue', body: Buffer.from('question') };

test('repeated sends of a request have the same fingerprint, whatever the case of the host', (t) => {
  t.is(requestFingerprint({ ...PARTS, host: 'a.example' }), requestFingerprint(PARTS));
});

test('a different path, caller or body gives a different fingerprint, even if the joined parts are equal', (t) => {
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
