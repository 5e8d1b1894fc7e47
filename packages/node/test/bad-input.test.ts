import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { createHash } from 'node:crypto';
import test from 'ava';
import { buildPublication } from '@canvasridge/configuration';
import { configurationSchema } from '@canvasridge/domain';
import { request } from 'undici';
import { startNodeProcess, nodeSettingsSchema, type NodeProcess } from '../src/index.js';

const KEY = 'a-caller-key';
const LIMITED_KEY = 'a-limited-key';
const LOOPBACK = '127.0.0.1:0';
const ADMIN_KEY = 'an-admin-key-0001';

const configuration = configurationSchema.parse({
  bases: [{ name: 'llama' }],
  adapters: [{ name: 'kigali', base: 'llama', versions: ['v1'] }],
  engines: [{ id: 'e', url: 'http://127.0.0.1:9', base: 'llama', zone: 'z', slots: 1, maxBatch: 1 }],
  services: [
    {
      name: 'payouts',
      backEnds: [{ url: 'http://127.0.0.1:9', zone: 'z' }],
      notRepeatable: [{ method: 'POST', path: '/confirm' }],
    },
  ],
  callers: [
    { name: 'caller', team: 't', keySha256: [digest(KEY)], requestsPerSecond: 1000, concurrency: 1000 },
    {
      name: 'limited',
      team: 't',
      keySha256: [digest(LIMITED_KEY)],
      requestsPerSecond: 1000,
      concurrency: 1000,
      models: ['llama:other'],
      services: [],
    },
  ],
  tuning: { maxBodyBytes: 2048 },
});

function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Starts a stand-in of the platform: a configuration service with one revision, and an empty machine list.
 */
async function startPlatform(): Promise<Server> {
  const { documents } = buildPublication(configuration, { revision: 0, digest: '0'.repeat(64) }, 0);
  const values = new Map(documents.map((document) => [document.key, document.value]));
  const server = createServer((incoming, outgoing) => {
    const key = decodeURIComponent(incoming.url?.split('?')[0]?.slice('/values/'.length) ?? '');
    const value = values.get(key);
    outgoing.writeHead(200, { 'content-type': 'application/json' });
    if (incoming.url === '/machines') outgoing.end('[]');
    else if (incoming.url?.includes('after=1') !== true) outgoing.end(JSON.stringify({ value, version: 1 }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

let platform: Server;
let node: NodeProcess;

test.before(async () => {
  platform = await startPlatform();
  const url = `http://127.0.0.1:${(platform.address() as AddressInfo).port}`;
  const started = await startNodeProcess(
    nodeSettingsSchema.parse({
      node: { id: 'node-a', zone: 'z' },
      listen: { callers: LOOPBACK, peers: LOOPBACK, gossip: LOOPBACK },
      platform: { configurationUrl: url, machineListUrl: url },
      peerKey: 'a-peer-key-000001',
      adminKey: ADMIN_KEY,
      log: { level: 'error' },
      drain: { lingerSeconds: 0, limitSeconds: 1 },
    }),
  );
  node = started._unsafeUnwrap();
  while (node.node.state !== 'ready') await new Promise((resolve) => setTimeout(resolve, 20));
});

test.after.always(async () => {
  await node.stop();
  platform.closeAllConnections();
  platform.close();
});

interface BadRequest {
  readonly name: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly key?: string;
  readonly body?: string;
  readonly status: number;
  readonly code: string;
  /** Text that the problem's detail must contain. */
  readonly names?: string;
}

const goodBody = JSON.stringify({ model: 'llama:kigali@v1', prompt: 'p', max_tokens: 1 });

const badRequests: readonly BadRequest[] = [
  { name: 'an unknown key', key: 'wrong', status: 401, code: 'unauthenticated', names: 'authorization' },
  { name: 'a body that is not JSON', body: '{', status: 400, code: 'malformed-request', names: 'JSON' },
  { name: 'a body without a model', body: '{}', status: 400, code: 'malformed-request', names: 'model' },
  { name: 'a body that is a list', body: '[1]', status: 400, code: 'malformed-request', names: 'model' },
  { name: 'an empty body', body: '', status: 400, code: 'malformed-request', names: 'JSON' },
  {
    name: 'a malformed model name',
    body: '{"model":"x"}',
    status: 400,
    code: 'malformed-model-name',
    names: 'model',
  },
  {
    name: 'an unknown base',
    body: '{"model":"x:y@v1"}',
    status: 404,
    code: 'unknown-model',
    names: 'x:y@v1',
  },
  {
    name: 'an unknown adapter',
    body: '{"model":"llama:x@v1"}',
    status: 404,
    code: 'unknown-model',
    names: 'llama:x',
  },
  {
    name: 'an unknown version',
    body: '{"model":"llama:kigali@v9"}',
    status: 404,
    code: 'unknown-model',
    names: '@v9',
  },
  { name: 'a model of another caller', key: LIMITED_KEY, status: 403, code: 'not-allowed', names: 'limited' },
  {
    name: 'a body over the limit',
    body: 'x'.repeat(4096),
    status: 413,
    code: 'body-too-large',
    names: '2048',
  },
  {
    name: 'a deadline of 0 ms',
    headers: { 'canvasridge-deadline-ms': '0' },
    status: 504,
    code: 'deadline-passed',
    names: 'canvasridge-deadline-ms',
  },
  {
    name: 'a deadline that is not a number',
    headers: { 'canvasridge-deadline-ms': 'soon' },
    status: 400,
    code: 'invalid-header',
    names: 'canvasridge-deadline-ms',
  },
  {
    name: 'an unknown priority',
    headers: { 'canvasridge-priority': 'urgent' },
    status: 400,
    code: 'invalid-header',
    names: 'interactive',
  },
  {
    name: 'a repeatable header that is neither yes nor no',
    headers: { 'canvasridge-repeatable': 'maybe' },
    status: 400,
    code: 'invalid-header',
    names: 'canvasridge-repeatable',
  },
  {
    name: 'a non-repeatable request without a key',
    headers: { 'canvasridge-repeatable': 'no' },
    status: 428,
    code: 'key-required',
    names: 'idempotency-key',
  },
  {
    name: 'an invalid home token',
    headers: { 'canvasridge-repeatable': 'no', 'idempotency-key': 'k', 'canvasridge-home': 'nowhere' },
    status: 400,
    code: 'invalid-header',
    names: 'canvasridge-home',
  },
  {
    name: 'an unknown service',
    path: '/services/none/x',
    status: 404,
    code: 'unknown-service',
    names: 'none',
  },
  {
    name: 'a service of another caller',
    path: '/services/payouts/x',
    key: LIMITED_KEY,
    status: 403,
    code: 'not-allowed',
    names: 'payouts',
  },
  {
    name: 'a non-repeatable service call without a key',
    path: '/services/payouts/confirm',
    status: 428,
    code: 'key-required',
  },
  { name: 'an unknown path', path: '/v2/nothing', status: 404, code: 'not-found', names: '/v2/nothing' },
];

for (const bad of badRequests) {
  test(`${bad.name} is refused with code ${bad.code} as not executed, with a detail that names the cause`, async (t) => {
    const response = await request(`${node.callersUrl}${bad.path ?? '/v1/completions'}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${bad.key ?? KEY}`,
        'content-type': 'application/json',
        ...bad.headers,
      },
      body: bad.body ?? goodBody,
    });
    const problem = (await response.body.json()) as Record<string, unknown>;
    t.is(response.statusCode, bad.status);
    t.is(response.headers['content-type'], 'application/problem+json');
    t.is(problem.code, bad.code);
    t.is(problem.executed, 'no');
    t.is(problem.type, `urn:canvasridge:problem:${bad.code}`);
    if (bad.names !== undefined) t.true(String(problem.detail).includes(bad.names), String(problem.detail));
  });
}

test('a non-repeatable request whose home process is unknown is refused with code outcome-unknown', async (t) => {
  const response = await request(`${node.callersUrl}/services/payouts/confirm`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${KEY}`,
      'idempotency-key': 'k',
      'canvasridge-home': `node-a~gone~${Math.floor(Date.now() / 600_000)}`,
    },
  });
  const problem = (await response.body.json()) as Record<string, unknown>;
  t.is(problem.code, 'outcome-unknown');
  t.is(problem.executed, 'unknown');
});

test('a call to a service with an unreachable back end is refused as not executed, with a Retry-After header', async (t) => {
  const response = await request(`${node.callersUrl}/services/payouts/status`, {
    headers: { authorization: `Bearer ${KEY}` },
  });
  const problem = (await response.body.json()) as Record<string, unknown>;
  t.is(problem.code, 'service-unavailable');
  t.is(problem.executed, 'no');
  t.is(response.headers['retry-after'], '1');
});

test('the admin API refuses a wrong key and accepts the right one', async (t) => {
  const wrong = await request(`${node.peersUrl}/admin/status`, {
    headers: { authorization: 'Bearer wrong' },
  });
  t.is(wrong.statusCode, 401);
  const right = await request(`${node.peersUrl}/admin/status`, {
    headers: { authorization: `Bearer ${ADMIN_KEY}` },
  });
  t.is(((await right.body.json()) as { revision: number }).revision, 1);
});

const strangers = [
  { door: 'callersUrl', path: '/v1/completions' },
  { door: 'callersUrl', path: '/services/payouts/x' },
  { door: 'peersUrl', path: '/forward/v1/completions' },
  { door: 'peersUrl', path: '/rpc' },
  { door: 'peersUrl', path: '/admin/plan' },
] as const;

for (const { door, path } of strangers) {
  // Callers' bodies were read before their key was, so that strangers could hold memory for bodies.
  test(`a request with an unknown key is refused before the end of its body (${path})`, async (t) => {
    const { hostname, port } = new URL(node[door]);
    const socket = connect(Number(port), hostname);
    t.teardown(() => socket.destroy());
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer wrong\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n`,
    );
    const [answer] = (await once(socket, 'data')) as [Buffer];
    t.regex(answer.toString(), /^HTTP\/1\.1 401 /);
  });
}

test('a peer call without the peer key is refused', async (t) => {
  const response = await request(`${node.peersUrl}/rpc`, { method: 'POST', body: '{}' });
  t.is(response.statusCode, 401);
});

test('the directory returns an address, a lifetime and a home token', async (t) => {
  const response = await request(`${node.callersUrl}/v1/endpoints?model=llama:kigali`, {
    headers: { authorization: `Bearer ${KEY}` },
  });
  const answer = (await response.body.json()) as {
    endpoints: { url: string }[];
    ttlSeconds: number;
    home: string;
  };
  t.is(answer.endpoints[0]?.url, node.callersUrl);
  t.is(answer.ttlSeconds, 5);
  t.regex(answer.home, /^node-a~[0-9a-f]+~\d+$/);
});
