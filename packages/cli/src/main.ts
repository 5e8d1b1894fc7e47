import { runCommand } from '@canvasridge/settings';
import { confirmCommand } from './commands/confirm.js';
import { drainCommand } from './commands/drain.js';
import { planCommand } from './commands/plan.js';
import { statusCommand } from './commands/status.js';
import { timelineCommand } from './commands/timeline.js';
import { validateCommand } from './commands/validate.js';

const VERSION = '0.1.0';
const COMMANDS = [validateCommand, planCommand, confirmCommand, statusCommand, drainCommand, timelineCommand];

/** Entry point of `canvasridge`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  return runCommand('canvasridge', VERSION, COMMANDS, argv);
}
