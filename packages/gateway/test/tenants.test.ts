import test, { type ExecutionContext } from 'ava';
import { widenRule } from '../src/index.js';
import {
  Harness,
  LEASE_MS,
  configuration,
  tenant,
  type RouteOverrides,
  type ClientResponse,
} from './harness.js';
import { success, type RawResponder } from './raw-backend.js';

const ANSWER: RawResponder = (socket, id) => socket.write(success(id, 'done'));
const TENANTS = [tenant('one', ['key-1', 'key-1b']), tenant('two', ['key-2'])];

async function withTenants(
  t: ExecutionContext,
  changes: RouteOverrides,
  body: (harness: Harness) => Promise<void>,
): Promise<void> {
  const harness = await Harness.start({}, [ANSWER, ANSWER]);
  harness.fleet.applyConfiguration(configuration(changes, TENANTS, 2));
  try {
    await body(harness);
  } finally {
    harness.stop();
  }
  t.false(harness.lines.join().includes('key-1'), 'a log line contains a key');
}

function call(
  harness: Harness,
  key: string | undefined,
  headers: Record<string, string> = {},
): Promise<ClientResponse> {
  return harness.call('a1', '/x/', 'question', key === undefined ? headers : { ...headers, key });
}

test('a request is attributed to the tenant that holds its key', async (t) => {
  await withTenants(t, {}, async (harness) => {
    t.is((await call(harness, 'key-1b')).status, 200);
    t.true(harness.backends.some(({ requestHeads }) => requestHeads.join().includes('tenant: one')));
    t.true(harness.lines.some((line) => line.includes('request.finished') && line.includes('tenant=one')));
  });
});

for (const [name, key] of [
  ['without a key', undefined],
  ['with a key that nobody holds', 'forged'],
] as const) {
  test(`a request ${name} is answered with 401 and reaches no backend`, async (t) => {
    await withTenants(t, {}, async (harness) => {
      t.is((await call(harness, key)).status, 401);
      t.is(harness.sends, 0);
    });
  });
}

test('a public route needs no key, but a key that is given must belong to a tenant', async (t) => {
  await withTenants(t, { isPublic: true }, async (harness) => {
    t.is((await call(harness, undefined)).status, 200);
    t.is((await call(harness, 'key-2')).status, 200);
    t.is((await call(harness, 'forged')).status, 401);
    t.is(harness.sends, 2);
  });
});

test('a node whose configuration may be outdated answers that nothing ran, whether it knows the key or not', async (t) => {
  await withTenants(t, {}, async (harness) => {
    harness.configurationAgeMs = LEASE_MS + 1;
    for (const key of ['key-1', 'forged', undefined]) t.is((await call(harness, key)).status, 503);
    t.is(harness.sends, 0);
  });
});

test('a request whose key is revoked between the choice of a backend and the send is not run', async (t) => {
  await withTenants(t, {}, async (harness) => {
    harness.beforeSend = () => {
      harness.fleet.applyConfiguration(configuration({}, [tenant('two', ['key-2'])], 3));
      return Promise.resolve();
    };
    t.is((await call(harness, 'key-1')).status, 401);
    t.is(harness.sends, 0);
  });
});

test('a request is not run if the configuration lease expires between the choice of a backend and the send', async (t) => {
  await withTenants(t, {}, async (harness) => {
    harness.beforeSend = () => {
      harness.configurationAgeMs = LEASE_MS + 1;
      return Promise.resolve();
    };
    t.is((await call(harness, 'key-1')).status, 503);
    t.is(harness.sends, 0);
  });
});

test('a key that two tenants hold identifies neither, and a tenant entry that cannot be read grants no access', async (t) => {
  const harness = await Harness.start({}, [ANSWER]);
  const shared = [tenant('one', ['both']), tenant('two', ['both', 'own'])];
  const unread = tenant('three', ['unread'], { problem: 'unit: not known' });
  harness.fleet.applyConfiguration(configuration({}, [...shared, unread], 2));
  t.is((await call(harness, 'both')).status, 503);
  t.is((await call(harness, 'unread')).status, 503);
  t.is((await call(harness, 'own')).status, 200);
  t.is(harness.sends, 1);
  harness.stop();
});

test('an empty list of tenants grants access to nobody', async (t) => {
  const harness = await Harness.start({}, [ANSWER]);
  harness.fleet.applyConfiguration(configuration({}, [], 2));
  t.is((await call(harness, 'key-1')).status, 401);
  t.is(harness.sends, 0);
  harness.stop();
});

const QUOTA = { unit: 'tokens', ratePerSecond: 100, burst: 100, plainTokens: 200 } as const;

async function withQuota(
  responders: readonly RawResponder[],
  body: (harness: Harness, asked: number[]) => Promise<void>,
): Promise<void> {
  const harness = await Harness.start({}, responders);
  harness.fleet.applyConfiguration(configuration({}, [tenant('one', ['key-1'], { quota: QUOTA })], 2));
  const asked: number[] = [];
  harness.admit = (_, units) => {
    asked.push(units);
    return Promise.resolve({ kind: 'admitted' });
  };
  try {
    await body(harness, asked);
  } finally {
    harness.stop();
  }
}

test('a request is charged by its tokens, and one without a token count by the configured default', async (t) => {
  await withQuota([ANSWER], async (harness, asked) => {
    t.is((await call(harness, 'key-1', { tokens: '1540' })).status, 200);
    t.is((await call(harness, 'key-1')).status, 200);
    t.deepEqual(asked, [1540, 200]);
    t.deepEqual(harness.refundedUnits, []);
  });
});

test('a request beyond its tenant quota is answered with 429 and a Retry-After, and reaches no backend', async (t) => {
  await withQuota([ANSWER], async (harness) => {
    harness.admit = () => Promise.resolve({ kind: 'refused', retryAfterMs: 700 });
    const seen = await call(harness, 'key-1');
    t.is(seen.status, 429);
    t.is(seen.headers['retry-after'], '0.700');
    t.is(harness.sends, 0);
    t.deepEqual(harness.refundedUnits, []);
  });
});

test('units of a request that no backend ran are given back exactly once', async (t) => {
  const refuses: RawResponder = (socket) =>
    socket.write('HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
  await withQuota([refuses], async (harness) => {
    t.is((await call(harness, 'key-1')).status, 503);
    t.deepEqual(harness.refundedUnits, [200]);
  });
});

test('units of a request that may have run are not given back', async (t) => {
  await withQuota([(socket) => socket.end()], async (harness) => {
    t.is((await call(harness, 'key-1')).status, 502);
    t.deepEqual(harness.refundedUnits, []);
  });
});

const BREAKS_OFF: RawResponder = (socket) => socket.destroy();
const REPEATABLE: RouteOverrides = { kind: 'idempotent', attempts: 2 };

// Guards against exceeding a quota when backends break off many runs at once, and all of them are sent again.
test('a run that repeats a broken one is charged again', async (t) => {
  let runs = 0;
  const breaksFirst: RawResponder = (socket, id, head) => {
    runs += 1;
    if (runs === 1) BREAKS_OFF(socket, id, head);
    else ANSWER(socket, id, head);
  };
  await withQuota([breaksFirst, breaksFirst], async (harness, asked) => {
    harness.fleet.applyConfiguration(
      configuration(REPEATABLE, [tenant('one', ['key-1'], { quota: QUOTA })], 3),
    );
    t.is((await call(harness, 'key-1')).status, 200);
    t.is(runs, 2);
    t.deepEqual(asked, [200, 200]);
    t.deepEqual(harness.refundedUnits, []);
  });
});

test('a run that repeats a broken one is not sent beyond the quota', async (t) => {
  await withQuota([BREAKS_OFF, BREAKS_OFF], async (harness) => {
    harness.fleet.applyConfiguration(
      configuration(REPEATABLE, [tenant('one', ['key-1'], { quota: QUOTA })], 3),
    );
    let charges = 0;
    harness.admit = () => {
      charges += 1;
      return Promise.resolve(charges === 1 ? { kind: 'admitted' } : { kind: 'refused', retryAfterMs: 700 });
    };
    t.is((await call(harness, 'key-1')).status, 502, 'it has run once');
    t.is(harness.sends, 1);
    t.deepEqual(harness.refundedUnits, []);
  });
});

test('units of a repeated run that no backend ran are given back', async (t) => {
  const refuses: RawResponder = (socket) =>
    socket.write('HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
  let sends = 0;
  const breaksThenRefuses: RawResponder = (socket, id, head) => {
    sends += 1;
    (sends === 1 ? BREAKS_OFF : refuses)(socket, id, head);
  };
  await withQuota([breaksThenRefuses, breaksThenRefuses], async (harness, asked) => {
    harness.fleet.applyConfiguration(
      configuration(REPEATABLE, [tenant('one', ['key-1'], { quota: QUOTA })], 3),
    );
    t.is((await call(harness, 'key-1')).status, 502);
    t.deepEqual(asked, [200, 200]);
    t.deepEqual(harness.refundedUnits, [200]);
  });
});

test('the burst is widened by half of the overage that operators tolerate in a window', (t) => {
  const rule = { ratePerSecond: 100, burst: 200 };
  t.deepEqual(widenRule(rule, undefined), rule);
  const tolerance = { windowSeconds: 8, overage: 0.25, slack: 50 };
  t.deepEqual(widenRule(rule, tolerance), { ratePerSecond: 100, burst: 200 + 0.5 * (0.25 * 1000 + 50) });
});
