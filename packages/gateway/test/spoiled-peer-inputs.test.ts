/**
 * Spoiled calls over a connection of a peer to a running node: it answers sound ones afterwards, and what it refused has
 * changed nothing.
 */
import test from 'ava';
import fc from 'fast-check';
import { SERVICE } from './harness.js';
import { ANSWER_MS, KNOWN, SEED, connectTo, spoiled, stateOf } from './spoiling-peer.js';

const MAX_LINE_LENGTH = 600;

const REQUEST = {
  id: 'r1',
  traceId: 't1',
  priority: 0,
  objectiveMs: 1000,
  ageMs: 0,
  timeoutMs: 5000,
  startWithinMs: 5000,
  excluded: [],
};
const LOAN_REQUEST = { subject: 'i1', needed: [1], ahead: 0, returned: 0, demand: 1 };
const RULE = { ratePerSecond: 1, burst: 1 };

/** Sound params of each method, none of which changes what is compared. */
const SOUND: Readonly<Record<string, object>> = {
  'fleet.follow': KNOWN,
  'fleet.snapshot': KNOWN,
  'fleet.configuration-part': { above: 0, offset: 0 },
  'slots.acquire': { pool: 'none', request: REQUEST },
  'slots.cancel': { pool: 'none', requestId: 'r1', outcome: 'cancelled' },
  'slots.started': { pool: 'none', requestIds: ['r1'] },
  'slots.uses': { pool: 'none', member: 'n9', uses: [] },
  'slots.release': { pool: 'none', requestId: 'r1', outcome: 'served' },
  'slots.rate-limit': { pool: 'none', backendId: 'i1', perSecond: 1 },
  'slots.decided': { kind: 'refused', requestId: 'r1', reason: 'stopping', retryAfterMs: 0 },
  'quota.borrow': { node: 'n9', group: 0, requests: [LOAN_REQUEST] },
  'rate-limit.borrow': { node: 'n9', group: 0, requests: [{ ...LOAN_REQUEST, rule: RULE }] },
  'quarantine.interrupted': { interruptions: [] },
  'quarantine.completed': { fingerprint: 'f', sentAgoMs: 1 },
  'quarantine.ended-well': { fingerprint: 'f' },
  'quarantine.trial': { fingerprint: 'f', episode: 1 },
  'quarantine.part-crashes': { crashes: [], runs: { parts: [], services: [] } },
  'quarantine.part-runs': { parts: [] },
  'streams.began': { streams: [] },
  'streams.find': { service: SERVICE, lifeMs: 1000 },
  'paths.reaches': { service: SERVICE },
};
/** Methods that answer null or false to params of another form, as in earlier builds, and one that nobody waits for. */
const READS_BY_ITSELF = [
  'quarantine.part-crashes',
  'quarantine.part-runs',
  'streams.began',
  'streams.find',
  'paths.reaches',
  'slots.decided',
];

/** Params of a call whose fields, or all of it, are spoiled. */
function spoiledParams(sound: object): fc.Arbitrary<unknown> {
  const field = fc.constantFrom(...Object.keys(sound));
  const oneField = fc.tuple(field, spoiled).map(([name, value]) => ({ ...sound, [name]: value }));
  const missing = field.map((name) =>
    Object.fromEntries(Object.entries(sound).filter(([key]) => key !== name)),
  );
  return fc.oneof(oneField, missing, spoiled);
}

for (const [method, sound] of Object.entries(SOUND)) {
  // Guards against a node that ends, stops answering or takes something over by a spoiled call.
  test(`a node runs on unchanged after spoiled calls of ${method}`, async (t) => {
    const { node, lines, connection } = await connectTo(t);
    const before = stateOf(node);
    await fc.assert(
      fc.asyncProperty(spoiledParams(sound), async (params) => {
        connection.notify(method, params);
        await connection.call(method, params, ANSWER_MS);
        t.false(connection.closed);
      }),
      { seed: SEED, numRuns: 150 },
    );
    t.deepEqual(stateOf(node), before);
    t.not(await connection.call('fleet.follow', KNOWN, ANSWER_MS), undefined);
    const unread = lines.filter((line) => line.includes('peer.params-unread'));
    t.true(unread.every((line) => line.length < MAX_LINE_LENGTH));
  });

  // Guards against a schema that refuses what nodes send.
  test(`sound params of ${method} are accepted`, async (t) => {
    const { lines, connection } = await connectTo(t);
    await connection.call(method, sound, ANSWER_MS);
    t.deepEqual(
      lines.filter((line) => line.includes('peer.params-unread')),
      [],
    );
  });
}

for (const method of Object.keys(SOUND).filter((name) => !READS_BY_ITSELF.includes(name))) {
  // Guards against a refusal that the caller takes for an answer, and against one without a line.
  test(`a call of ${method} without params is refused, and logged once`, async (t) => {
    const { lines, connection } = await connectTo(t);
    t.is(await connection.call(method, [], ANSWER_MS), undefined);
    t.is(await connection.call(method, [], ANSWER_MS), undefined);
    t.is(lines.filter((line) => line.includes('peer.params-unread')).length, 1);
  });
}
