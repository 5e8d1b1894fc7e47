/** Guards against one order or report whose failure ends a leader's loop, or the process: callers expect no rejection. */
import { socketAddress } from '@canvasridge/addresses';
import type { BackendDescription } from '@canvasridge/serving';
import type { EngineControl } from '@canvasridge/slots';
import test from 'ava';
import { GuardedControl } from '../src/paths/guarded-control.js';

const ENGINE: BackendDescription = {
  id: 'e1',
  service: 'llm',
  address: socketAddress('127.0.0.1:1'),
  zone: 'a',
  state: 'ready',
  slots: 4,
  models: [],
};
const ORDER = { action: 'load', model: 'm', adapter: 'a', expectedCount: 0, holder: 'n', fence: 1 } as const;

/** Throws at once, as before its first await, or rejects. */
function failing(how: 'throws' | 'rejects'): EngineControl {
  const fail = (): Promise<never> => {
    const error = new TypeError('Invalid URL');
    if (how === 'throws') throw error;
    return Promise.reject(error);
  };
  return { onNotice: () => undefined, report: fail, order: fail };
}

for (const how of ['throws', 'rejects'] as const)
  test(`a control that ${how} knows nothing of the order and of the engine, and that is logged`, async (t) => {
    const lines: string[] = [];
    const event = (level: string, name: string, subject: string): void =>
      void lines.push(`${level} ${name} ${subject}`);
    const control = new GuardedControl(failing(how), { event });
    t.deepEqual(await control.order(ENGINE, ORDER, () => true), {
      kind: 'unknown',
      detail: 'internal error',
    });
    t.is(await control.report(ENGINE), undefined);
    t.deepEqual(lines, ['error order.defect e1', 'error report.defect e1']);
  });
