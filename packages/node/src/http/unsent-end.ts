import type { MemoryBudget } from './memory-budget.js';
import type { Listener } from './request-order.js';

/**
 * Counts what a response still has to send when it was ended, until the client has taken it or left. Answers that are
 * written at once, such as lists, wait for their clients nowhere else.
 */
export function countUnsentEnds(listener: Listener, budget: MemoryBudget): Listener {
  return (request, response) => {
    response.once('prefinish', () => {
      const bytes = request.socket.writableLength;
      if (bytes === 0) return;
      const holder = budget.open(() => response.destroy());
      response.once('close', () => holder.release());
      if (!holder.resize(bytes)) response.destroy();
    });
    listener(request, response);
  };
}
