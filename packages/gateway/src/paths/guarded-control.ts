import type { BackendDescription } from '@canvasridge/serving';
import type {
  EngineControl,
  EngineOrder,
  EngineReport,
  NoticeListener,
  OrderReply,
} from '@canvasridge/slots';
import { errorFields, type Telemetry } from '@canvasridge/telemetry';

/**
 * An engine control whose promises never reject, whatever fails in one call: an order may have been carried out then, and
 * a report tells nothing.
 */
export class GuardedControl implements EngineControl {
  readonly #control: EngineControl;
  readonly #telemetry: Pick<Telemetry, 'event'>;

  constructor(control: EngineControl, telemetry: Pick<Telemetry, 'event'>) {
    this.#control = control;
    this.#telemetry = telemetry;
  }

  onNotice(listener: NoticeListener): void {
    this.#control.onNotice(listener);
  }

  async report(backend: BackendDescription): Promise<EngineReport | undefined> {
    try {
      return await this.#control.report(backend);
    } catch (cause) {
      this.#recordDefect('report.defect', backend, cause);
      return undefined;
    }
  }

  async order(
    backend: BackendDescription,
    order: EngineOrder,
    isAllowed: () => boolean,
  ): Promise<OrderReply> {
    try {
      return await this.#control.order(backend, order, isAllowed);
    } catch (cause) {
      this.#recordDefect('order.defect', backend, cause);
      return { kind: 'unknown', detail: 'internal error' };
    }
  }

  #recordDefect(event: string, { id, address }: BackendDescription, cause: unknown): void {
    this.#telemetry.event('error', event, id, { ...errorFields(cause), address });
  }
}
