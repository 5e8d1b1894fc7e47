import type { BackendDescription } from '@canvasridge/serving';
import type {
  EngineControl,
  EngineOrder,
  EngineReport,
  NoticeListener,
  OrderReply,
} from '@canvasridge/slots';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { BackendPaths } from './backend-paths.js';

/** Passes reports and orders on to the engine control, and records what they show of the paths to engines. */
export class PathRecordingControl implements EngineControl {
  readonly #control: EngineControl;
  readonly #paths: Pick<BackendPaths, 'received' | 'isOwnFailure'>;
  readonly #telemetry: Pick<Telemetry, 'event'>;

  constructor(
    control: EngineControl,
    paths: Pick<BackendPaths, 'received' | 'isOwnFailure'>,
    telemetry: Pick<Telemetry, 'event'>,
  ) {
    this.#control = control;
    this.#paths = paths;
    this.#telemetry = telemetry;
  }

  onNotice(listener: NoticeListener): void {
    this.#control.onNotice(listener);
  }

  async report(backend: BackendDescription): Promise<EngineReport | undefined> {
    const report = await this.#control.report(backend);
    this.#record(backend, report !== undefined);
    return report;
  }

  async order(
    backend: BackendDescription,
    order: EngineOrder,
    isAllowed: () => boolean,
  ): Promise<OrderReply> {
    const reply = await this.#control.order(backend, order, isAllowed);
    if (reply.kind !== 'not-sent') this.#record(backend, reply.kind !== 'unknown');
    return reply;
  }

  #record({ id, service }: BackendDescription, isAnswered: boolean): void {
    if (isAnswered) this.#paths.received(service);
    else runInBackground(this.#telemetry, 'path-check', () => this.#paths.isOwnFailure(id));
  }
}
