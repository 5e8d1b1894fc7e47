import test from 'ava';
import * as z from 'zod';
import { configurationProblem } from '../src/cluster/configuration-protocol.js';
import { usesParams } from '../src/cluster/slot-protocol.js';
import { listOf } from '../src/peers/list-of.js';

test('a list is read, refused at its first element that is not valid, and refused whole if it is too long', (t) => {
  const list = z.object({ of: listOf(z.object({ n: z.number() }), 3) });
  t.deepEqual(list.parse({ of: [{ n: 1 }, { n: 2, more: 3 }] }), { of: [{ n: 1 }, { n: 2 }] });
  const { error } = list.safeParse({ of: [{ n: 1 }, { n: 'x' }, {}] });
  t.deepEqual(
    error?.issues.map(({ path }) => path),
    [['of', 1, 'n']],
  );
  t.is(list.safeParse({ of: [0, 0, 0, 0] }).error?.issues.length, 1);
  t.false(list.safeParse({ of: 'x' }).success);
});

// A message of 1 MB ended the process for want of memory.
test('a call whose list holds half a million values of another type is one issue', (t) => {
  const uses = new Array<number>(500_000).fill(0);
  t.is(usesParams.safeParse({ pool: 'p', member: 'm', uses }).error?.issues.length, 1);
});

// Callers choose the token counts of their requests: one that the leader refuses would have cost all uses of its node.
test('a token count of any size is told to the leader', (t) => {
  const use = { requestId: 'r', backendId: 'e', model: 'm', started: true, leftMs: 1 };
  t.true(usesParams.safeParse({ pool: 'p', member: 'm', uses: [{ ...use, promptTokens: 1e12 }] }).success);
});

// An earlier build passes on what it read: the HTTP server threw at the end of each response.
test('limits below 0 from a peer are refused', (t) => {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const configuration = { version: 2, routes: [], services: [], limits };
  t.is(configurationProblem(configuration), undefined);
  for (const name of Object.keys(limits))
    t.not(configurationProblem({ ...configuration, limits: { ...limits, [name]: -5000 } }), undefined, name);
});
