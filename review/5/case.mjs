/**
 * DRAIN: the open connections to the platform's store go silent for good, while new ones work. The entry of a runner goes
 * then. Machines that are in touch again go on sending it requests.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { LIMITS, ROOT, Resolver, TROUBLE, exchange, newAttemptId, runCase, sleep } from '../lib/harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HOST = 'clips.example';
const SERVICE = 'clip-api';
const RUNNERS = 4;
const CLIENTS = 12;
const DEADLINE_MS = 1500;
const DRAIN_MS = 2000;
const CONTACT_MS = 3000;
/** Beyond the bound, so that no difference between two clocks' readings of this process counts. */
const MARGIN_MS = 100;
const PLAY_MS = 14_000;
/** A runner whose entry has gone serves on for drainMs and a little longer, and ends, whatever it runs. */
const SERVES_ON_MS = DRAIN_MS + 1700;
const WORK_MS = 250;

await runCase(FOLDER, async (harness, record) => {
  await harness.start({ nodes: 3, storeLink: true });
  const sentMs = new Map();
  let leaving = { id: undefined, bindingFromMs: Infinity };
  const broken = [];
  const ranThere = new Set();
  let lost = 0;
  const addRunner = (number) => {
    const id = `i-${number}`;
    const args = [id, SERVICE, harness.ip(100 + number), `zone-${'abc'[number % 3]}`, 800, WORK_MS];
    const program = join(ROOT, 'review', 'lib', 'plain-runner.mjs');
    const child = harness.spawn(process.execPath, [program, ...args.map(String)], {}, `${id}.log`);
    return new Promise((resolveEntry) => {
      child.on('message', (message) => {
        if (message.kind === 'entry') {
          harness.store.put(`servers/${id}`, message.entry);
          resolveEntry(child);
          return;
        }
        record.line(`run      ${message.attempt} at ${id}`);
        if (id === leaving.id) ranThere.add(message.attempt);
        const lateMs = (sentMs.get(message.attempt) ?? -Infinity) - leaving.bindingFromMs;
        if (id === leaving.id && lateMs > MARGIN_MS)
          broken.push(
            `DRAIN ${message.attempt}: sent to the runner that has left, ${Math.round(lateMs)} ms after the bound`,
          );
      });
    });
  };
  const runners = [];
  for (let number = 1; number <= RUNNERS; number += 1) runners.push(await addRunner(number));
  harness.store.put('op/config', {
    version: 7,
    routes: [
      {
        name: 'order',
        host: HOST,
        pathPrefix: '/orders/',
        kind: 'non_idempotent',
        timeoutMs: 800,
        sloMs: 150,
        priority: 2,
        service: SERVICE,
        attempts: 1,
      },
    ],
    services: [{ name: SERVICE, healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false }],
    limits: LIMITS,
  });
  await harness.waitUntilReady();
  await sleep(2000);

  const counts = {};
  const untilMs = Date.now() + PLAY_MS;
  const client = async (number) => {
    const resolver = new Resolver(harness.nodes, number, HOST);
    while (Date.now() < untilMs) {
      const { ip, port } = await resolver.pick();
      const attempt = newAttemptId();
      const headers = { host: HOST, 'attempt-id': attempt, 'deadline-ms': String(DEADLINE_MS) };
      sentMs.set(attempt, Date.now());
      record.line(`sent     ${attempt} to ${ip}`);
      let status = 'failed';
      try {
        ({ status } = await exchange({
          ip,
          port,
          method: 'POST',
          path: '/orders/2f',
          headers,
          body: 'order',
          limitMs: DEADLINE_MS,
        }));
      } catch (cause) {
        record.line(`failed   ${attempt}: ${cause.message}`);
      }
      record.line(`answered ${attempt} ${status}`);
      counts[status] = (counts[status] ?? 0) + 1;
      if (status !== 200 && ranThere.has(attempt)) lost += 1;
      await sleep(30);
    }
  };
  const clients = Array.from({ length: CLIENTS }, (_, number) => client(number));
  await sleep(5000);
  await addRunner(RUNNERS + 1);
  record.line(`runner i-${RUNNERS + 1} has joined, which replaces i-1`);
  await sleep(400);
  let harmedMs = -Infinity;
  if (TROUBLE) {
    harmedMs = Date.now();
    record.line(`${harness.storeLink.silenceOpen()} open connections to the store go silent for good`);
  }
  await sleep(200);
  harness.store.remove('servers/i-1');
  record.line('the entry of runner i-1 is gone; it serves on');
  leaving = { id: 'i-1', bindingFromMs: Math.max(Date.now() + DRAIN_MS, harmedMs + CONTACT_MS) };
  await sleep(SERVES_ON_MS);
  runners[0].kill('SIGKILL');
  record.line('runner i-1 has ended');
  await Promise.all(clients);
  record.line(
    `answers: ${JSON.stringify(counts)}; ${lost} requests were lost as the runner that had left ended`,
  );
  console.log(JSON.stringify(counts), `${broken.length} broken, ${lost} lost`);
  return broken;
});
