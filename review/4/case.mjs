/**
 * CONFIG: the open connections to the platform's store go silent for good, while new ones work. A configuration that is
 * acknowledged then is not in force on machines that are in touch again.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { LIMITS, ROOT, Resolver, TROUBLE, exchange, newAttemptId, runCase, sleep } from '../lib/harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HOST = 'clips.example';
const SERVICE = 'clip-api';
const RUNNERS = 4;
const CLIENTS = 6;
const DEADLINE_MS = 1500;
const CONFIG_APPLY_MS = 2000;
const CONTACT_MS = 3000;
/** Beyond the bound, so that no difference between two clocks' readings of this process counts. */
const MARGIN_MS = 100;
const PLAY_MS = 25_000;

const route = (name, prefix) => ({
  name,
  host: HOST,
  pathPrefix: prefix,
  kind: 'idempotent',
  timeoutMs: 800,
  sloMs: 150,
  priority: 2,
  service: SERVICE,
  attempts: 2,
});
const configuration = (version, routes, idleTimeoutMs = LIMITS.idleTimeoutMs) => ({
  version,
  routes,
  services: [{ name: SERVICE, healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false }],
  limits: { ...LIMITS, idleTimeoutMs },
});

await runCase(FOLDER, async (harness, record) => {
  await harness.start({ nodes: 3, storeLink: true });
  const runs = new Set();
  for (let number = 1; number <= RUNNERS; number += 1) {
    const id = `i-${number}`;
    const args = [id, SERVICE, harness.ip(100 + number), `zone-${'abc'[number % 3]}`, 800, 30];
    const program = join(ROOT, 'review', 'lib', 'plain-runner.mjs');
    const child = harness.spawn(process.execPath, [program, ...args.map(String)], {}, `${id}.log`);
    child.on('message', (message) => {
      if (message.kind === 'entry') harness.store.put(`servers/${id}`, message.entry);
      else {
        runs.add(message.attempt);
        record.line(`run      ${message.attempt} at ${id}`);
      }
    });
  }
  const [kept, dropped, added] = [
    route('kept', '/kept/'),
    route('dropped', '/dropped/'),
    route('added', '/added/'),
  ];
  harness.store.put('op/config', configuration(7, [kept, dropped]));
  await harness.waitUntilReady();
  await sleep(2000);

  /** When requests on dropped and added routes have to be handled as the newest version says. */
  let bindingFromMs = Infinity;
  const broken = [];
  const counts = { kept: {}, dropped: {}, added: {} };
  const untilMs = Date.now() + PLAY_MS;
  const client = async (number) => {
    const resolver = new Resolver(harness.nodes, number, HOST);
    for (let count = number; Date.now() < untilMs; count += 1) {
      const name = ['kept', 'dropped', 'added'][count % 3];
      const { ip, port } = await resolver.pick();
      const attempt = newAttemptId();
      const headers = { host: HOST, 'attempt-id': attempt, 'deadline-ms': String(DEADLINE_MS) };
      const sentMs = Date.now();
      record.line(`sent     ${attempt} /${name}/ to ${ip}`);
      let status = 'failed';
      try {
        ({ status } = await exchange({
          ip,
          port,
          method: 'GET',
          path: `/${name}/2f`,
          headers,
          limitMs: DEADLINE_MS,
        }));
      } catch (cause) {
        record.line(`failed   ${attempt}: ${cause.message}`);
      }
      record.line(`answered ${attempt} ${status}`);
      counts[name][status] = (counts[name][status] ?? 0) + 1;
      const lateMs = sentMs - bindingFromMs;
      if (lateMs > MARGIN_MS && name === 'dropped' && runs.has(attempt))
        broken.push(`CONFIG ${attempt}: run on a dropped route at ${ip}, ${lateMs} ms after the bound`);
      if (lateMs > MARGIN_MS && name === 'added' && status === 404)
        broken.push(`CONFIG ${attempt}: 404 on an added route at ${ip}, ${lateMs} ms after the bound`);
      await sleep(40);
    }
  };
  const clients = Array.from({ length: CLIENTS }, (_, number) => client(number));
  await sleep(4000);
  harness.store.put('op/config', configuration(8, [kept, dropped], 14_000));
  record.line('configuration 8 is acknowledged; it changes idleTimeoutMs');
  await sleep(1000);
  let harmedMs = -Infinity;
  if (TROUBLE) {
    harmedMs = Date.now();
    record.line(`${harness.storeLink.silenceOpen()} open connections to the store go silent for good`);
  }
  await sleep(200);
  harness.store.put('op/config', configuration(9, [kept, added], 14_000));
  record.line('configuration 9 is acknowledged: one route dropped, one added');
  bindingFromMs = Math.max(Date.now() + CONFIG_APPLY_MS, harmedMs + CONTACT_MS);
  await Promise.all(clients);
  record.line(`answers by route: ${JSON.stringify(counts)}`);
  console.log(JSON.stringify(counts), `${broken.length} broken`);
  return broken;
});
