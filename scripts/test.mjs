/** Builds, runs all tests with ava, and ends with the line `N passed, N failed`. */
import { spawn, spawnSync } from 'node:child_process';
import { createInterface } from 'node:readline';

const build = spawnSync('npx', ['tsc', '-b'], { stdio: 'inherit' });
if (build.status !== 0) process.exit(1);

const ava = spawn('npx', ['ava', '--tap', ...process.argv.slice(2)], {
  stdio: ['ignore', 'pipe', 'inherit'],
});
let passed = 0;
let failed = 0;
let showing = false;
for await (const line of createInterface({ input: ava.stdout })) {
  if (line.startsWith('ok ')) passed += 1;
  if (line.startsWith('not ok ')) failed += 1;
  if (/^(ok|not ok) /.test(line)) showing = line.startsWith('not ok ');
  if (showing || line.startsWith('Bail out')) console.log(line);
}
const code = ava.exitCode ?? (await new Promise((resolve) => ava.once('exit', resolve)));
if (code !== 0 && failed === 0) failed = 1;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
