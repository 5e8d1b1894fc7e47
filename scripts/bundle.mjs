/**
 * Builds the program that runs on the platform into `target/`: `canvasridge.cjs`, which is what to start, and beside it
 * `program.cjs` with all its code and `program.cache`, that code as V8 has compiled it.
 *
 * A process that starts again after a loss of power serves nobody until its code is loaded, and machines have a third
 * of a core. Processor time from the start until all sockets listen, beside other work on the machine, median of eight
 * starts, twice: one module with all of its libraries 0.46 and 0.52 s, as built here 0.29 and 0.24 s.
 */
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { build } from 'esbuild';

const compiled = spawnSync('npx', ['tsc', '-b', 'platform'], { stdio: 'inherit' });
if (compiled.status !== 0) process.exit(1);

/**
 * Parts of undici that its index loads and this program does not use: a browser's interface, test doubles, caches; and
 * HTTP/2, which its client loads.
 */
const UNUSED_PARTS = /^\.\/(lib\/(web|mock|cache|interceptor)\/|client-h2\.js$)/;
const WHO_LOADS_THEM = /[\\/]undici[\\/](index|lib[\\/]dispatcher[\\/]client)\.js$/;

/** Leaves those parts out, and native code that a codec can do without. Modules that need a part for themselves still get it. */
const withoutUnusedParts = {
  name: 'without-unused-parts',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: UNUSED_PARTS }, ({ importer }) =>
      WHO_LOADS_THEM.test(importer) ? { path: 'unused', namespace: 'unused' } : undefined,
    );
    onResolve({ filter: /^msgpackr-extract$/ }, () => ({ path: 'missing', namespace: 'unused' }));
    onLoad({ filter: /^unused$/, namespace: 'unused' }, () => ({
      contents: 'exports.CacheStorage = class {};',
    }));
    onLoad({ filter: /^missing$/, namespace: 'unused' }, () => ({
      contents: "throw new Error('left out');",
    }));
  },
};

/** Enough to tell builds of one history apart. */
const BUILD_ID_DIGITS = 12;

const shared = { bundle: true, platform: 'node', format: 'cjs', target: 'node20' };
await build({
  ...shared,
  entryPoints: ['platform/dist/src/program.js'],
  outfile: 'target/program.cjs',
  plugins: [withoutUnusedParts],
});
const digest = createHash('sha256').update(readFileSync('target/program.cjs')).digest('hex');
await build({
  ...shared,
  entryPoints: ['platform/dist/src/start.js'],
  outfile: 'target/canvasridge.cjs',
  define: { BUILD_ID: JSON.stringify(digest.slice(0, BUILD_ID_DIGITS)) },
});

// V8 takes compiled code only under the flags under which it was written.
const flags = /^run = "node (.*) target\/canvasridge\.cjs"$/m.exec(
  readFileSync('deploy/system.toml', 'utf8'),
);
if (flags === null) throw new Error('deploy/system.toml does not run target/canvasridge.cjs');
const cached = spawnSync(
  process.execPath,
  [...flags[1].split(' '), 'target/canvasridge.cjs', '--write-cache'],
  {
    stdio: 'inherit',
  },
);
if (cached.status !== 0) process.exit(1);
