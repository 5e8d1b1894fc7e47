/** Log lines for errors of servers that listen. */
import type { LimitedEvents } from '@canvasridge/telemetry';

/**
 * A handler that logs each error as `listen.server-failed`; the server goes on.
 * @param field the setting with the server's address
 */
export function logServerErrors(events: Pick<LimitedEvents, 'event'>, field: string): (cause: Error) => void {
  return (cause) => {
    const { code, message } = cause as NodeJS.ErrnoException;
    events.event('error', 'listen.server-failed', field, { code, reason: message });
  };
}
