/**
 * VERSION: a runner works slowly on a stream, during which a newer version of its adapter is published. Later requests for the
 * adapter still begin on the old version there.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { LIMITS, ROOT, Resolver, TROUBLE, exchange, newAttemptId, runCase, sleep } from '../lib/harness.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HOST = 'desk.example';
const SERVICE = 'lm-desk';
const MODEL = 'm0';
const RUNNERS = 7;
const ADAPTERS = 21;
const DEADLINE_MS = 15_000;
const VERSION_MS = 5000;
/** Beyond the bound, so that no difference between two clocks' readings of this process counts. */
const MARGIN_MS = 100;
const EVENT_MS = 100;
/** Answers of 3.5 s at a sound runner. */
const EVENTS = 35;
/** `srv_slow`: a share of 0.15 of the runners works 4 times as long, for 5 s. */
const SLOW = { times: 4, forMs: 5000 };
/** Time from the publication to the second request for each adapter. */
const SECOND_AFTER_MS = 5300;

await runCase(FOLDER, async (harness, record) => {
  await harness.start({ nodes: 3 });
  const runners = [];
  const broken = [];
  const counts = {};
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
      else if (message.kind === 'order')
        record.line(`order    ${message.opcode} ${message.adapter} at ${id} by ${message.holder}`);
      else if (message.kind === 'run') {
        const { adapter, node } = sentBy.get(message.attempt);
        record.line(
          `run      ${message.attempt} for ${adapter}@${message.version} at ${id}, through ${node}`,
        );
        const lateMs = nowMs - publishedMs - VERSION_MS;
        if (message.version < 2 && lateMs > MARGIN_MS)
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

  const send = async (number) => {
    const { ip, port } = await new Resolver(harness.nodes, number, HOST).pick();
    const node = harness.nodes.find((candidate) => candidate.ip === ip).name;
    const adapter = `a${number}`;
    const attempt = newAttemptId();
    const headers = {
      host: HOST,
      'attempt-id': attempt,
      'deadline-ms': String(DEADLINE_MS),
      model: `${MODEL}/${adapter}`,
      'token-count': `200,${EVENTS * 2}`,
      'prompt-prefix': `${attempt}:200`,
    };
    sentBy.set(attempt, { adapter, node });
    record.line(`sent     ${attempt} for ${adapter} to ${node}`);
    let status = 'failed';
    const request = { ip, port, method: 'POST', path: '/reels/2f', headers, body: 'prompt' };
    try {
      ({ status } = await exchange({ ...request, limitMs: DEADLINE_MS }));
    } catch (cause) {
      record.line(`failed   ${attempt}: ${cause.message}`);
    }
    record.line(`answered ${attempt} ${status}`);
    counts[status] = (counts[status] ?? 0) + 1;
  };
  const numbers = Array.from({ length: ADAPTERS }, (_, index) => index + 1);
  const first = numbers.map((number) => send(number));
  await sleep(1200);
  if (TROUBLE) {
    runners[0].send({ kind: 'slow', times: SLOW.times });
    record.line(`runner i-1 works ${SLOW.times} times as long`);
  }
  for (const number of numbers) {
    const adapter = `a${number}`;
    for (const runner of runners) runner.send({ kind: 'version', adapter, version: 2 });
    harness.store.put(`op/version/${MODEL}.${adapter}`, { model: MODEL, adapter, version: 2 });
  }
  publishedMs = Date.now();
  record.line('version 2 of all adapters is acknowledged');
  await sleep(SLOW.forMs);
  if (TROUBLE) {
    runners[0].send({ kind: 'slow', times: 1 });
    record.line('runner i-1 works as fast as before');
  }
  await sleep(publishedMs + SECOND_AFTER_MS - Date.now());
  const second = numbers.map((number) => send(number));
  await Promise.all([...first, ...second]);
  record.line(`answers: ${JSON.stringify(counts)}`);
  console.log(JSON.stringify(counts), `${broken.length} broken`);
  return broken;
});
