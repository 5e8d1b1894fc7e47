import { runCommand } from '@canvasridge/settings';
import { benchCommand } from './commands/bench.js';
import { capacityCommand } from './commands/capacity.js';
import { demoCommand } from './commands/demo.js';
import { examplesCommand } from './commands/examples.js';
import { faultsCommand } from './commands/faults.js';
import { publishCommand } from './commands/publish.js';
import { scaleCommand } from './commands/scale.js';

const VERSION = '0.1.0';
const COMMANDS = [
  demoCommand,
  benchCommand,
  faultsCommand,
  scaleCommand,
  capacityCommand,
  examplesCommand,
  publishCommand,
];

/** Entry point of `canvasridge-load`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  return runCommand('canvasridge-load', VERSION, COMMANDS, argv);
}
