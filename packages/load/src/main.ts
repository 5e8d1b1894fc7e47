import { runCommand } from '@canvasridge/settings';
import { benchCommand } from './commands/bench.js';
import { demoCommand } from './commands/demo.js';
import { faultsCommand } from './commands/faults.js';
import { scaleCommand } from './commands/scale.js';

const VERSION = '0.1.0';

/** Entry point of `canvasridge-load`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  return runCommand(
    'canvasridge-load',
    VERSION,
    [demoCommand, benchCommand, faultsCommand, scaleCommand],
    argv,
  );
}
