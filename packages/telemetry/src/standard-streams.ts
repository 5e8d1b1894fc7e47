/**
 * Lets the process go on when whoever reads its standard output or standard error ends: without a listener, the failed
 * write is an uncaught exception. What is written after that is lost, and nothing is left to tell it to.
 */
export function surviveClosedStreams(): void {
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => undefined);
}
