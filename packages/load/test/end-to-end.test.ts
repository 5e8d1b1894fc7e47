import test from 'ava';
import { request } from 'undici';
import { Deployment, keyDigest, type DeploymentPlan } from '../src/processes/deployment.js';

const KEY = 'end-to-end-key';
const MODEL = 'llama:kigali@v1';

const PLAN: DeploymentPlan = {
  nodes: [
    { id: 'node-a', zone: 'z' },
    { id: 'node-b', zone: 'z' },
  ],
  engines: [{ id: 'engine-1', zone: 'z', base: 'llama', slots: 2, maxBatch: 4, checksFence: true }],
  services: [{ name: 'payouts', zone: 'z', notRepeatable: [{ method: 'POST', path: '/confirm' }] }],
  adapters: [{ name: 'kigali', base: 'llama', versions: ['v1'] }],
  bases: ['llama'],
  callers: [{ name: 'c', team: 't', keySha256: [keyDigest(KEY)], requestsPerSecond: 100, concurrency: 100 }],
  tuning: { weightStoreLoadsPerSecond: 20, weightStoreConcurrency: 4 },
  weightStore: { loadsPerSecond: 20, concurrency: 4, loadMs: 50 },
  machineListLagMs: 1000,
  lingerSeconds: 0,
};

let deployment: Deployment;

test.before(async () => {
  deployment = await Deployment.start(PLAN, () => undefined);
});

test.after.always(() => deployment.stop());

interface CallResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

async function call(
  path: string,
  body: unknown,
  headers: Record<string, string> = {},
  node = 0,
): Promise<CallResponse> {
  const response = await request(`${deployment.callerUrls()[node] ?? ''}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json', ...headers },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
}

function events(text: string): string[] {
  return text.split('\n\n').filter((event) => event !== '');
}

test('a stream arrives complete through either node, although one of them has to forward it', async (t) => {
  for (const node of [0, 1]) {
    const body = { model: MODEL, prompt: 'p', max_tokens: 4, stream: true };
    const response = await call('/v1/completions', body, {}, node);
    t.is(response.status, 200);
    t.is(response.headers['canvasridge-served-model'], MODEL);
    t.is(events(response.text).length, 5);
    t.true(response.text.endsWith('data: [DONE]\n\n'));
  }
});

test('a chat response names the newest version when none is requested', async (t) => {
  const body = { model: 'llama:kigali', messages: [{ role: 'user', content: 'hello' }], max_tokens: 3 };
  const response = await call('/v1/chat/completions', body);
  const document = JSON.parse(response.text) as {
    model: string;
    choices: { message: { content: string } }[];
  };
  t.is(document.model, MODEL);
  t.is(document.choices[0]?.message.content.trim().split(' ').length, 3);
});

test('a resumable stream continues after the last event received, and a forged token is refused', async (t) => {
  const body = { model: MODEL, prompt: 'resume', max_tokens: 6, stream: true };
  const first = await call('/v1/completions', body, { 'canvasridge-resumable': 'yes' });
  const token = first.headers['canvasridge-stream'];
  if (typeof token !== 'string') return t.fail('no token');
  const rest = await call(`/v1/streams/${token}`, undefined, { 'last-event-id': '2' }, 1);
  t.is(rest.status, 200);
  t.deepEqual(events(rest.text), events(first.text).slice(3));
  const forged = await call(`/v1/streams/${token.slice(0, -2)}xx`, undefined);
  t.is((JSON.parse(forged.text) as { code: string }).code, 'resume-unavailable');
});

test('a repeated at-most-once request gets the stored response, at its home node and at others', async (t) => {
  const directory = JSON.parse((await call('/v1/endpoints', undefined)).text) as { home: string };
  const headers = { 'idempotency-key': 'payout-17', 'canvasridge-home': directory.home };
  const responses = [0, 1, 0, 1].map((node) =>
    call('/services/payouts/confirm', { amount: 1 }, headers, node),
  );
  const [first, ...others] = await Promise.all(responses);
  t.is(first?.status, 200);
  for (const other of others) t.is(other.text, first?.text ?? '');
  const records = await deployment.records();
  const executions = records.services.flatMap((service) => service.executions);
  t.is(executions.filter((execution) => execution.key === 'payout-17').length, 1);
});

test('timelines show the events of a request under its id', async (t) => {
  await call('/v1/completions', { model: MODEL, prompt: 'p', max_tokens: 1 }, { 'x-request-id': 'traced-1' });
  const dumps = (await deployment.timelines()) as { events: { requestId?: string; name: string }[] }[];
  const names = dumps.flatMap((dump) =>
    dump.events.filter((event) => event.requestId === 'traced-1').map((event) => event.name),
  );
  t.true(names.includes('request.completed'));
  t.true(names.includes('attempt.done'));
});
