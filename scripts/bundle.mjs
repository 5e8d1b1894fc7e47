/**
 * Bundles the program that runs on the platform into `target/`: the entry point `canvasridge.cjs`, the
 * application code `program.cjs`, and `program.cache`, the V8 code cache of `program.cjs`.
 *
 * Short start-up matters because a process that restarts after a power failure serves no requests until its
 * code is loaded, and a machine has only a third of a core. Processor time from the start until all sockets
 * listen (median of eight starts, measured twice, with other work on the machine): 0.46 and 0.52 s for one
 * module with all libraries, 0.29 and 0.24 s for this bundle.
 */
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { build } from 'esbuild';

const compilation = spawnSync('npx', ['tsc', '-b', 'platform'], { stdio: 'inherit' });
if (compilation.status !== 0) process.exit(1);

/**
 * Parts of undici that the program does not use: the web APIs, mocks, caches and interceptors that its index
 * loads, and the HTTP/2 client that its client loads.
 */
const UNUSED_PARTS = /^\.\/(lib\/(web|mock|cache|interceptor)\/|client-h2\.js$)/;
const IMPORTERS_OF_UNUSED_PARTS = /[\\/]undici[\\/](index|lib[\\/]dispatcher[\\/]client)\.js$/;

/**
 * Replaces the unused parts by a stub where one of IMPORTERS_OF_UNUSED_PARTS imports them; other importers
 * still get them. Also leaves out msgpackr's native extension, which msgpackr can do without.
 */
const stubUnusedParts = {
  name: 'without-unused-parts',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: UNUSED_PARTS }, ({ importer }) =>
      IMPORTERS_OF_UNUSED_PARTS.test(importer) ? { path: 'unused', namespace: 'unused' } : undefined,
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

/** Length of the build id: enough digits to distinguish the builds of this repository. */
const BUILD_ID_DIGITS = 12;

const shared = { bundle: true, platform: 'node', format: 'cjs', target: 'node20' };
await build({
  ...shared,
  entryPoints: ['platform/dist/src/program.js'],
  outfile: 'target/program.cjs',
  plugins: [stubUnusedParts],
});
const digest = createHash('sha256').update(readFileSync('target/program.cjs')).digest('hex');
await build({
  ...shared,
  entryPoints: ['platform/dist/src/start.js'],
  outfile: 'target/canvasridge.cjs',
  define: { BUILD_ID: JSON.stringify(digest.slice(0, BUILD_ID_DIGITS)) },
});

// V8 accepts a code cache only under the same flags as those under which it was written.
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
