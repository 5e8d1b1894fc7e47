import type { Server } from 'node:net';
import { LimitedEvents, type Telemetry } from '@canvasridge/telemetry';
import type { Result } from 'neverthrow';
import type { BindError } from './bind-error.js';
import { bindWhenFree, type BindRetryOptions } from './bind-retry.js';
import { listen } from './listen.js';
import { logServerErrors } from './server-errors.js';
import type { HostPort } from './socket-address.js';

/** Why a process could not listen; `field` is the setting with the address. */
export interface ListenError extends BindError {
  readonly field: string;
}

export type AddressBinderOptions = Pick<BindRetryOptions, 'clock' | 'timeoutMs' | 'signal'> & {
  /**
   * For `listen.waiting` and `listen.bound`: one line each for an address that was in use; and for
   * `listen.server-failed`: errors of servers that listen.
   */
  readonly telemetry: Pick<Telemetry, 'event'>;
};

/**
 * Binds the sockets of a process at its start. Each one waits while something else uses its address, all of them
 * together for no longer than the time-out.
 */
export class AddressBinder {
  readonly #options: AddressBinderOptions;
  readonly #deadlineMs: number;

  constructor(options: AddressBinderOptions) {
    this.#options = options;
    this.#deadlineMs = options.clock.now() + options.timeoutMs;
  }

  /** A binder that waits until the address is free, however long that takes. */
  withoutTimeout(): AddressBinder {
    return new AddressBinder({ ...this.#options, timeoutMs: Infinity });
  }

  /**
   * @param field the setting with the address, for log lines and errors
   * @param bind one try
   */
  async bind<T>(field: string, bind: () => Promise<Result<T, BindError>>): Promise<Result<T, ListenError>> {
    const { telemetry, ...options } = this.#options;
    const timeoutMs = Math.max(0, this.#deadlineMs - options.clock.now());
    const bound = await bindWhenFree(bind, {
      ...options,
      timeoutMs,
      onWaiting: ({ address, reason }) =>
        telemetry.event('warn', 'listen.waiting', field, { address, reason, timeoutMs }),
      onBound: ({ address }, waitedMs) =>
        telemetry.event('info', 'listen.bound', field, { address, waitedMs: Math.round(waitedMs) }),
    });
    return bound.mapErr((error) => ({ ...error, field }));
  }

  /** Binds a TCP or HTTP server, whose later errors are logged; resolves to what it was bound to. */
  listen(field: string, server: Server, address: HostPort): Promise<Result<HostPort, ListenError>> {
    const { telemetry, clock } = this.#options;
    const onError = logServerErrors(new LimitedEvents(telemetry, clock), field);
    return this.bind(field, () => listen(server, address, onError));
  }
}
