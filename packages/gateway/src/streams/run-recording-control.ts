import type { BackendDescription } from '@canvasridge/serving';
import type {
  EngineControl,
  EngineOrder,
  EngineReport,
  NoticeListener,
  OrderReply,
} from '@canvasridge/slots';
import type { ReportedRuns } from './reported-runs.js';

/** Passes reports and orders on to the engine control, and records which attempts the reports show as running. */
export class RunRecordingControl implements EngineControl {
  readonly #control: EngineControl;
  readonly #runs: Pick<ReportedRuns, 'record'>;

  constructor(control: EngineControl, runs: Pick<ReportedRuns, 'record'>) {
    this.#control = control;
    this.#runs = runs;
  }

  onNotice(listener: NoticeListener): void {
    this.#control.onNotice(listener);
  }

  async report(backend: BackendDescription): Promise<EngineReport | undefined> {
    const report = await this.#control.report(backend);
    if (report?.runs !== undefined) this.#runs.record(backend, report.runs);
    return report;
  }

  order(backend: BackendDescription, order: EngineOrder, isAllowed: () => boolean): Promise<OrderReply> {
    return this.#control.order(backend, order, isAllowed);
  }
}
