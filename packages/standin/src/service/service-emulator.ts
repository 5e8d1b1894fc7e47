import type { Clock } from '@canvasridge/clock';

/** One execution of a service call. */
export interface ServiceExecution {
  readonly requestId: string;
  readonly key: string;
  readonly path: string;
  readonly atMs: number;
}

/** Plain service: takes a while, records each execution, answers with what it was asked. */
export class ServiceEmulator {
  readonly name: string;
  readonly executions: ServiceExecution[] = [];
  readonly #clock: Clock;
  latencyMs: number;
  /** Whether the service answers at all. */
  reachable = true;
  /** Break the connection after executing, so that the caller of the service learns nothing. */
  breakAfterExecution = false;

  constructor(name: string, clock: Clock, latencyMs: number) {
    this.name = name;
    this.#clock = clock;
    this.latencyMs = latencyMs;
  }

  /** Runs a call; undefined when the connection breaks after the execution. */
  async call(execution: Omit<ServiceExecution, 'atMs'>, body: string): Promise<string | undefined> {
    this.executions.push({ ...execution, atMs: this.#clock.now() });
    await this.#clock.sleep(this.latencyMs);
    if (this.breakAfterExecution) return undefined;
    return JSON.stringify({ service: this.name, path: execution.path, key: execution.key, echo: body });
  }
}
