import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import test from 'ava';

const BINARIES = {
  'canvasridge-node': '../../../node/bin/canvasridge-node.js',
  canvasridge: '../../../cli/bin/canvasridge.js',
  'canvasridge-standin': '../../../standin/bin/canvasridge-standin.js',
  'canvasridge-load': '../../../load/bin/canvasridge-load.js',
} as const;

type Binary = keyof typeof BINARIES;

function run(binary: Binary, argv: readonly string[]): { code: number | null; out: string; error: string } {
  const path = fileURLToPath(new URL(BINARIES[binary], import.meta.url));
  const result = spawnSync(process.execPath, [path, ...argv], { encoding: 'utf8' });
  return { code: result.status, out: result.stdout, error: result.stderr };
}

for (const binary of Object.keys(BINARIES) as Binary[]) {
  test(`${binary} prints its help and its version`, (t) => {
    const help = run(binary, ['--help']);
    t.is(help.code, 0);
    t.true(help.out.includes('Usage:') && help.out.includes('Exit codes'));
    t.deepEqual(run(binary, ['--version']), { code: 0, out: `${binary} 0.1.0\n`, error: '' });
  });
}

const usageErrors: readonly { binary: Binary; argv: readonly string[]; names: string }[] = [
  { binary: 'canvasridge-node', argv: [], names: '--settings' },
  { binary: 'canvasridge-node', argv: ['--settings', 'nowhere.json'], names: 'nowhere.json: cannot be read' },
  { binary: 'canvasridge-node', argv: ['--port', '1'], names: '--port' },
  { binary: 'canvasridge-standin', argv: ['--settings', 'nowhere.json'], names: 'nowhere.json' },
  { binary: 'canvasridge', argv: ['plna'], names: 'unknown command "plna"' },
  { binary: 'canvasridge', argv: ['validate'], names: 'FILE is missing' },
  { binary: 'canvasridge', argv: ['status', '--node', 'here'], names: '--node: found "here"' },
  { binary: 'canvasridge-load', argv: ['faults', '--deployment', 'x'], names: 'imena, vidiral' },
  { binary: 'canvasridge-load', argv: ['faults', '--seeds', '9-1'], names: '--seeds: found "9-1"' },
  { binary: 'canvasridge-load', argv: ['faults', '--break', 'x'], names: 'idle-proof' },
  { binary: 'canvasridge-load', argv: ['scale', '--nodes', 'many'], names: '--nodes: found "many"' },
];

for (const { binary, argv, names } of usageErrors) {
  test(`${binary} ${argv.join(' ')} exits with code 2 and reports ${names}`, (t) => {
    const result = run(binary, argv);
    t.is(result.code, 2);
    t.true(result.error.includes(names), result.error);
  });
}
