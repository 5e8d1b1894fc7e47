import type { TimelineDump } from '@canvasridge/telemetry';

/** An event of the Trace Event Format that Chrome and Perfetto read. Times are microseconds. */
interface TraceEvent {
  readonly name: string;
  readonly ph: 'X' | 'i' | 'M';
  readonly pid: number;
  readonly tid: number;
  readonly ts: number;
  readonly dur?: number;
  readonly s?: 'p';
  readonly args: Readonly<Record<string, string>>;
}

const MICROSECONDS = 1000;

/** One process of the trace for each process of the system. */
export function toChromeTrace(dumps: readonly TimelineDump[]): {
  readonly traceEvents: readonly TraceEvent[];
} {
  const traceEvents = dumps.flatMap((dump, index) => {
    const pid = index + 1;
    const title: TraceEvent = {
      name: 'process_name',
      ph: 'M',
      pid,
      tid: 0,
      ts: 0,
      args: { name: dump.process },
    };
    return [title, ...dump.events.map((event) => toTraceEvent(event, pid))];
  });
  return { traceEvents };
}

function toTraceEvent(event: TimelineDump['events'][number], pid: number): TraceEvent {
  const { requestId = '', subject = '', detail = '' } = event;
  const common = {
    name: event.name,
    pid,
    tid: 1,
    ts: event.atMs * MICROSECONDS,
    args: { requestId, subject, detail },
  };
  if (event.durationMs === undefined) return { ...common, ph: 'i', s: 'p' };
  return { ...common, ph: 'X', dur: event.durationMs * MICROSECONDS };
}
