import type { Clock } from '@canvasridge/clock';

/** One execution of a service call. */
export interface ServiceExecution {
  readonly requestId: string;
  /** Idempotency key; empty if the call had none. */
  readonly key: string;
  readonly path: string;
  readonly atMs: number;
}

/** Emulates a service other than an engine: records each call, waits for `latencyMs` and echoes the body. */
export class ServiceEmulator {
  readonly name: string;
  readonly executions: ServiceExecution[] = [];
  readonly #clock: Clock;
  latencyMs: number;
  /** Whether the service responds at all; false emulates an outage. */
  reachable = true;
  /** Whether the connection breaks after each execution, so that the client cannot know that it happened. */
  breakAfterExecution = false;

  constructor(name: string, clock: Clock, latencyMs: number) {
    this.name = name;
    this.#clock = clock;
    this.latencyMs = latencyMs;
  }

  /** Executes a call; returns undefined if the connection is to break after the execution. */
  async call(execution: Omit<ServiceExecution, 'atMs'>, body: string): Promise<string | undefined> {
    this.executions.push({ ...execution, atMs: this.#clock.now() });
    await this.#clock.sleep(this.latencyMs);
    if (this.breakAfterExecution) return undefined;
    return JSON.stringify({ service: this.name, path: execution.path, key: execution.key, echo: body });
  }
}
