/**
 * Exits with 0 if the dependencies in `node_modules` of the working directory are those of the lock file and run on
 * this machine, and with 1 otherwise: a folder that was carried over may hold the binaries of another kind of machine.
 */
import { statSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';

const root = process.cwd();

/** npm writes its own lock file at the end of an installation. */
function isNewerThanLock() {
  const installed = statSync(join(root, 'node_modules', '.package-lock.json'));
  return installed.mtimeMs > statSync(join(root, 'package-lock.json')).mtimeMs;
}

/** esbuild is the only dependency with a binary of its own. */
function runsHere() {
  createRequire(join(root, 'package.json'))('esbuild').transformSync('');
  return true;
}

function hasDependencies() {
  try {
    return isNewerThanLock() && runsHere();
  } catch {
    return false;
  }
}

process.exit(hasDependencies() ? 0 : 1);
