/**
 * Ablation study of the slot policy: simulates days of a deployment with all mechanisms enabled, then with
 * each one disabled, and prints the mean of the bench's figure "worth" and its difference for each.
 *
 *   node scripts/ablation.mjs --bench PROGRAM --site SITE --work DIR [--days a,b] [--seeds 0,7] [--jobs 6] [--off x,y]
 *
 * PROGRAM is the operators' benchmark program. The script makes copies of the checkout below DIR, one for
 * each mechanism and one for all enabled, which differ only in the setting `switchedOff` of the deployment
 * template. Seed 0 stands for the default seed of the day. The journal entries that the bench writes in the
 * copies are copied back.
 */
import { spawn } from 'node:child_process';
import { cp, mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { MECHANISMS } from '@canvasridge/slots';

const TEMPLATE = 'deploy/node-settings.json.template';
const EXCLUDED_PATHS = new Set(['.git', 'target']);

const { values } = parseArgs({
  options: {
    bench: { type: 'string' },
    site: { type: 'string' },
    work: { type: 'string' },
    days: { type: 'string', default: 'trouble-1,scale-1,trouble-2,scale-2,trouble-3' },
    seeds: { type: 'string', default: '0,7' },
    jobs: { type: 'string', default: '6' },
    off: { type: 'string', default: MECHANISMS.join(',') },
  },
});
for (const name of ['bench', 'site', 'work']) {
  if (values[name] === undefined) throw new Error(`--${name} is missing: see the head of this script`);
}
const root = process.cwd();
const site = resolve(values.site);
const unknown = values.off.split(',').filter((name) => !MECHANISMS.includes(name));
if (unknown.length > 0) throw new Error(`--off ${unknown}: give some of ${MECHANISMS.join(', ')}`);

/**
 * Copies the checkout, disables one mechanism in the copy (none if undefined), and builds it. Returns its
 * folder.
 */
async function buildVariant(mechanism) {
  const folder = join(resolve(values.work), mechanism ?? 'all-on');
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
  const filter = (path) => !EXCLUDED_PATHS.has(path.slice(root.length + 1));
  await cp(root, folder, { recursive: true, filter, verbatimSymlinks: true });
  await run('git', ['init', '-q'], folder);
  const file = join(folder, TEMPLATE);
  const template = await readFile(file, 'utf8');
  const list = mechanism === undefined ? '[]' : `["${mechanism}"]`;
  await writeFile(file, template.replace('"firstStart":', `"switchedOff": ${list},\n  "firstStart":`));
  await run(values.bench, ['build'], folder);
  return folder;
}

/** Runs a program and returns its output (standard output and error), whatever its exit code. */
function run(program, args, cwd) {
  return new Promise((resolveOutput) => {
    const child = spawn(program, args, { cwd, stdio: ['ignore', 'pipe', 'pipe'] });
    let text = '';
    child.stdout.on('data', (chunk) => (text += chunk));
    child.stderr.on('data', (chunk) => (text += chunk));
    child.on('close', () => resolveOutput(text));
  });
}

/** Simulates one day; returns its worth, and the text after BROKEN if the bench printed one for it. */
async function runDay(folder, mechanism, day, seed) {
  const why = `Ablation: ${mechanism === undefined ? 'all mechanisms on' : `${mechanism} off`}`;
  const seedArgs = seed === '0' ? [] : ['--seed', seed];
  const text = await run(values.bench, ['run', site, day, ...seedArgs, '--why', why], folder);
  const row = text.split('\n').find((line) => line.startsWith(`${day} `));
  const worth = Number(row?.trim().split(/\s+/)[3]);
  return { worth, broken: /BROKEN.*/.exec(row ?? 'BROKEN: not played')?.[0] };
}

const variants = [undefined, ...values.off.split(',').filter((name) => name !== '')];
const folders = [];
for (const mechanism of variants) folders.push(await buildVariant(mechanism));
const pendingRuns = [];
for (const seed of values.seeds.split(','))
  for (const day of values.days.split(','))
    for (const [index, mechanism] of variants.entries())
      pendingRuns.push({ folder: folders[index], mechanism, day, seed });
const results = new Map(variants.map((mechanism) => [mechanism, []]));
async function worker() {
  for (let next = pendingRuns.shift(); next !== undefined; next = pendingRuns.shift()) {
    const result = await runDay(next.folder, next.mechanism, next.day, next.seed);
    results.get(next.mechanism).push(result.worth);
    if (result.broken !== undefined)
      console.log(`${next.mechanism ?? 'all on'} ${next.day} ${result.broken}`);
  }
}
await Promise.all(Array.from({ length: Number(values.jobs) }, worker));
for (const folder of folders) await cp(join(folder, 'journal'), join(root, 'journal'), { recursive: true });
const mean = (list) => list.reduce((sum, value) => sum + value, 0) / list.length;
const baseline = mean(results.get(undefined));
console.log(`| switched off | mean worth | difference | runs |\n| --- | --- | --- | --- |`);
for (const [mechanism, worths] of results) {
  const value = mean(worths);
  console.log(
    `| ${mechanism ?? 'none'} | ${value.toFixed(3)} | ${(value - baseline).toFixed(3)} | ${worths.length} |`,
  );
}
