import { runCommand } from '@canvasridge/settings';

const VERSION = '0.1.0';

/** Entry point of `canvasridge`. Returns the exit code. */
export function main(argv: readonly string[]): Promise<number> {
  return runCommand('canvasridge', VERSION, [], argv);
}
