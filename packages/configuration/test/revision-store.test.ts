import test from 'ava';
import { configurationSchema, type Configuration } from '@canvasridge/domain';
import { RevisionStore, buildPublication, type Publication } from '../src/index.js';

function configuration(adapterNames: readonly string[]): Configuration {
  return configurationSchema.parse({
    bases: [{ name: 'llama' }],
    adapters: adapterNames.map((name) => ({ name, base: 'llama', versions: ['v1'] })),
    engines: [{ id: 'engine-1', url: 'http://127.0.0.1:1', base: 'llama', zone: 'z', slots: 4, maxBatch: 8 }],
    callers: [{ name: 'c', team: 't', keySha256: ['a'.repeat(64)], requestsPerSecond: 1, concurrency: 1 }],
  });
}

function chunksOf(published: Publication): Map<string, string> {
  return new Map(
    published.documents.map((document) => [document.key.replace('canvasridge/chunk/', ''), document.value]),
  );
}

const GENESIS = { revision: 0, digest: '0'.repeat(64) };
const first = buildPublication(configuration(['a']), GENESIS, 0);
const second = buildPublication(configuration(['a', 'b']), first.head, 1);
/** Planned against the first revision, like `second`, but published after `second`. */
const concurrentSecond = buildPublication(configuration(['a', 'c']), first.head, 1);
const third = buildPublication(configuration(['a', 'b', 'd']), second.head, 2);
const thirdOnConcurrent = buildPublication(configuration(['a', 'c', 'd']), concurrentSecond.head, 2);

function accept(store: RevisionStore, published: Publication, sourceVersion: number): string {
  return store.accept(published.head, sourceVersion, chunksOf(published)).match(
    (index) => `revision ${index.revision}`,
    (refusal) => refusal.kind,
  );
}

interface Step {
  readonly published: Publication;
  readonly sourceVersion: number;
  readonly expected: string;
}

const sequences: readonly { name: string; steps: readonly Step[] }[] = [
  {
    name: 'revisions published in order are put in force',
    steps: [
      { published: first, sourceVersion: 1, expected: 'revision 1' },
      { published: second, sourceVersion: 2, expected: 'revision 2' },
      { published: third, sourceVersion: 3, expected: 'revision 3' },
    ],
  },
  {
    name: 'a lower revision is ignored',
    steps: [
      { published: second, sourceVersion: 2, expected: 'revision 2' },
      { published: first, sourceVersion: 1, expected: 'older' },
    ],
  },
  {
    name: 'if two operators publish concurrently, the first publication wins',
    steps: [
      { published: second, sourceVersion: 2, expected: 'revision 2' },
      { published: concurrentSecond, sourceVersion: 3, expected: 'plan-mismatch' },
    ],
  },
  {
    name: 'a node that sees only the second of two concurrent publications refuses it',
    steps: [
      { published: first, sourceVersion: 1, expected: 'revision 1' },
      { published: concurrentSecond, sourceVersion: 3, expected: 'plan-mismatch' },
      { published: second, sourceVersion: 2, expected: 'revision 2' },
    ],
  },
  {
    name: 'a node without a revision also refuses the second of two concurrent publications',
    steps: [{ published: concurrentSecond, sourceVersion: 3, expected: 'plan-mismatch' }],
  },
  {
    name: 'a revision planned against another predecessor is refused',
    steps: [
      { published: second, sourceVersion: 2, expected: 'revision 2' },
      { published: thirdOnConcurrent, sourceVersion: 3, expected: 'plan-mismatch' },
    ],
  },
  {
    name: 'a revision whose confirmed digest differs from the digest of its plan is refused',
    steps: [
      {
        published: { ...first, head: { ...first.head, planDigest: 'f'.repeat(64) } },
        sourceVersion: 1,
        expected: 'plan-mismatch',
      },
    ],
  },
  {
    name: 'a configuration that the fleet cannot fulfil is refused',
    steps: [
      {
        published: buildPublication({ ...configuration(['a']), engines: [] }, GENESIS, 0),
        sourceVersion: 1,
        expected: 'intent-unmet',
      },
    ],
  },
];

for (const { name, steps } of sequences) {
  test(name, (t) => {
    const store = new RevisionStore();
    for (const step of steps) t.is(accept(store, step.published, step.sourceVersion), step.expected);
  });
}

test('adding one adapter to many changes one chunk', (t) => {
  const names = Array.from({ length: 6000 }, (_unused, index) => `adapter-${index}`);
  const before = buildPublication(configuration(names), GENESIS, 0);
  const after = buildPublication(configuration([...names, 'one-more']), before.head, 1);
  t.true(before.head.chunks.length > 2);
  t.is(after.head.chunks.filter((chunk) => !before.head.chunks.includes(chunk)).length, 1);
});

test('a revision with a damaged chunk is not put in force', (t) => {
  const store = new RevisionStore();
  const chunks = new Map([...chunksOf(first)].map(([key, value]) => [key, `${value} `]));
  t.is(store.accept(first.head, 1, chunks)._unsafeUnwrapErr().kind, 'chunk-damaged');
  t.is(store.revision, 0);
});
