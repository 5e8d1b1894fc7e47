/**
 * VERSION: the leader of the engines freezes. Nodes that are not disturbed send requests to an engine that has served the
 * adapter lately, though it still holds the version before the published one.
 */
import { Agent } from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { LIMITS, ROOT, Resolver, TROUBLE, exchange, newAttemptId, runCase, sleep } from '../lib/harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HOST = 'desk.example';
const SERVICE = 'lm-desk';
const MODEL = 'm0';
const RUNNERS = 3;
const USERS = 12;
const DEADLINE_MS = 15_000;
const VERSION_MS = 5000;
/** Beyond the bound, so that no difference between two clocks' readings of this process counts. */
const MARGIN_MS = 100;
const EVENT_MS = 100;
/** Long answers of 7.5 s, then short ones of 1 s. */
const LONG_EVENTS = 75;
const SHORT_EVENTS = 10;
/** `node_freeze, on = "core", count = 1, how = "leader", for_s = 4.0`. */
const FREEZE_MS = 4000;

await runCase(FOLDER, async (harness, record) => {
  await harness.start({ nodes: 3 });
  const runners = [];
  const broken = [];
  const counts = {};
  let leader;
  let frozen;
  let publishedMs = Infinity;
  const sentBy = new Map();
  for (let number = 1; number <= RUNNERS; number += 1) {
    const id = `i-${number}`;
    const options = {
      id,
      service: SERVICE,
      ip: harness.ip(100 + number),
      zone: `zone-${'abc'[number % 3]}`,
      model: MODEL,
      eventMs: EVENT_MS,
      adapterMs: [250, 300],
    };
    const program = join(ROOT, 'review', 'lib', 'engine-runner.mjs');
    const child = harness.spawn(process.execPath, [program, JSON.stringify(options)], {}, `${id}.log`);
    runners.push(child);
    child.on('message', (message) => {
      const nowMs = Date.now();
      if (message.kind === 'entry') harness.store.put(`servers/${id}`, message.entry);
      else if (message.kind === 'order') {
        leader = message.holder;
        record.line(`order    ${message.opcode} ${message.adapter} at ${id} by ${message.holder}`);
      } else if (message.kind === 'run') {
        const { adapter, node } = sentBy.get(message.attempt);
        record.line(
          `run      ${message.attempt} for ${adapter}@${message.version} at ${id}, through ${node}`,
        );
        const lateMs = nowMs - publishedMs - VERSION_MS;
        if (message.version < 2 && lateMs > MARGIN_MS && node !== frozen)
          broken.push(
            `VERSION ${message.attempt}: began on ${adapter}@1 at ${id}, ${lateMs} ms after the bound`,
          );
      }
    });
  }
  const engine = {
    slots: 96,
    kvCapacity: 120_219,
    models: [{ name: MODEL, mb: 16_100, loadS: 0.95, adapters: 3000, adapterMb: 14 }],
    mb: 16_500,
    adapterSlots: 6,
    loadsPerS: 4.2,
  };
  harness.store.put('op/config', {
    version: 7,
    routes: [
      {
        name: 'reel',
        host: HOST,
        pathPrefix: '/reels/',
        kind: 'streaming',
        timeoutMs: 15_000,
        sloMs: 1000,
        gapSloMs: 400,
        priority: 0,
        service: SERVICE,
        attempts: 2,
        sticky: true,
        resumable: true,
      },
    ],
    services: [{ name: SERVICE, healthPath: '/health', maxConns: 490, protocol: 'h1', tls: false, engine }],
    limits: LIMITS,
  });
  await harness.waitUntilReady();
  await sleep(5000);

  const startMs = Date.now();
  const user = async (number) => {
    const agent = new Agent({ keepAlive: true });
    const { ip, port } = await new Resolver(harness.nodes, number, HOST).pick();
    const node = harness.nodes.find((candidate) => candidate.ip === ip).name;
    const adapter = `a${number + 1}`;
    await sleep(number * 100);
    for (let turn = 0; Date.now() < startMs + 16_000; turn += 1) {
      const attempt = newAttemptId();
      const events = turn === 0 ? LONG_EVENTS : SHORT_EVENTS;
      const headers = {
        host: HOST,
        'attempt-id': attempt,
        'deadline-ms': String(DEADLINE_MS),
        model: `${MODEL}/${adapter}`,
        'token-count': `200,${events * 2}`,
        'prompt-prefix': `${attempt}:200`,
      };
      sentBy.set(attempt, { adapter, node });
      record.line(`sent     ${attempt} for ${adapter} to ${node}`);
      let status = 'failed';
      const request = { ip, port, method: 'POST', path: '/reels/2f', headers, body: 'prompt', agent };
      try {
        ({ status } = await exchange({ ...request, limitMs: DEADLINE_MS }));
      } catch (cause) {
        record.line(`failed   ${attempt}: ${cause.message}`);
      }
      record.line(`answered ${attempt} ${status}`);
      counts[status] = (counts[status] ?? 0) + 1;
      await sleep(status === 200 ? 20 : 300);
    }
    agent.destroy();
  };
  const users = Array.from({ length: USERS }, (_, number) => user(number));
  await sleep(2200);
  for (let number = 1; number <= USERS; number += 1) {
    const adapter = `a${number}`;
    for (const runner of runners) runner.send({ kind: 'version', adapter, version: 2 });
    harness.store.put(`op/version/${MODEL}.${adapter}`, { model: MODEL, adapter, version: 2 });
  }
  publishedMs = Date.now();
  record.line('version 2 of all adapters is acknowledged');
  await sleep(startMs + 7700 - Date.now());
  if (TROUBLE) {
    const node = harness.nodes.find(({ name }) => name === leader);
    frozen = node.name;
    node.process.kill('SIGSTOP');
    record.line(`${frozen}, which gave the last order, freezes`);
    await sleep(FREEZE_MS);
    node.process.kill('SIGCONT');
    record.line(`${frozen} wakes`);
  }
  await Promise.all(users);
  record.line(`answers: ${JSON.stringify(counts)}`);
  console.log(JSON.stringify(counts), `${broken.length} broken`);
  return broken;
});
