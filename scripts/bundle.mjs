/** Builds the program that runs on the platform into one file, since loading many files costs time at a start. */
import { spawnSync } from 'node:child_process';
import { build } from 'esbuild';

const compiled = spawnSync('npx', ['tsc', '-b', 'platform'], { stdio: 'inherit' });
if (compiled.status !== 0) process.exit(1);
await build({
  entryPoints: ['platform/dist/src/bundle-entry.js'],
  outfile: 'target/canvasridge.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  external: ['msgpackr-extract'],
  banner: {
    js: "import { createRequire as requireFrom } from 'node:module'; const require = requireFrom(import.meta.url);",
  },
});
