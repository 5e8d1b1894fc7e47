import { errorFields } from './error-fields.js';
import type { Telemetry } from './telemetry.js';

export interface ProcessFailureOptions {
  /** Name of the process, for the log line. */
  readonly name: string;
  readonly telemetry: Pick<Telemetry, 'event'>;
  /** Writes what is logged before the process exits. */
  readonly flush: () => void;
  /** Ends the process at once. */
  readonly exit: () => void;
}

/**
 * What a process does about an error that nothing has caught: it logs `process.failed`. One that has started stops as
 * planned, so that its running requests end whole; before that it exits at once. Further errors are only logged.
 */
export class ProcessFailure {
  readonly #options: ProcessFailureOptions;
  readonly #occurred: Promise<void>;
  #stop: () => void = () => undefined;
  #hasStarted = false;
  #hasOccurred = false;

  constructor(options: ProcessFailureOptions) {
    this.#options = options;
    this.#occurred = new Promise((resolve) => (this.#stop = resolve));
  }

  /** Handles all errors of this process that nothing else has caught. */
  watch(): this {
    process.on('uncaughtException', (cause: unknown, origin) => this.handle(cause, origin));
    return this;
  }

  get hasOccurred(): boolean {
    return this.#hasOccurred;
  }

  /** Call it when the process has started. Resolves when it has to stop because of a failure. */
  untilFailed(): Promise<void> {
    this.#hasStarted = true;
    return this.#occurred;
  }

  /** @param origin how the error arrived, as Node.js names it */
  handle(cause: unknown, origin: string): void {
    const { name, telemetry, flush, exit } = this.#options;
    telemetry.event('error', 'process.failed', name, { origin, ...errorFields(cause) });
    this.#hasOccurred = true;
    if (this.#hasStarted) {
      this.#stop();
      return;
    }
    flush();
    exit();
  }
}
