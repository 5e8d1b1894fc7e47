import test from 'ava';
import { ProcessFailure } from '../src/process-failure.js';

interface Setup {
  readonly failure: ProcessFailure;
  readonly steps: string[];
}

function newSetup(): Setup {
  const steps: string[] = [];
  const failure = new ProcessFailure({
    name: 'n1',
    telemetry: { event: (level, name, subject) => void steps.push(`${level} ${name} ${subject}`) },
    flush: () => steps.push('flush'),
    exit: () => steps.push('exit'),
  });
  return { failure, steps };
}

test('a failure before the process has started ends it at once', (t) => {
  const { failure, steps } = newSetup();
  failure.handle(new Error('x'), 'uncaughtException');
  t.deepEqual(steps, ['error process.failed n1', 'flush', 'exit']);
});

// The process exited at once, with all its streams.
test('a failure after the start makes the process stop, and a second one is only logged', async (t) => {
  const { failure, steps } = newSetup();
  const failed = failure.untilFailed();
  t.false(failure.hasOccurred);
  failure.handle(new Error('x'), 'uncaughtException');
  await failed;
  failure.handle(new Error('y'), 'unhandledRejection');
  t.true(failure.hasOccurred);
  t.deepEqual(steps, ['error process.failed n1', 'error process.failed n1']);
});
