import type { TimelineDump } from '@canvasridge/telemetry';

/** An event in the Trace Event Format, which Chrome and Perfetto read. Times are in microseconds. */
interface TraceEvent {
  readonly name: string;
  /** Phase: `X` is an event with a duration, `i` an instant, `M` metadata such as a process's name. */
  readonly ph: 'X' | 'i' | 'M';
  readonly pid: number;
  readonly tid: number;
  readonly ts: number;
  /** Duration. */
  readonly dur?: number;
  /** Scope of an instant: `p` draws it over all threads of the process. */
  readonly s?: 'p';
  readonly args: Readonly<Record<string, string>>;
}

const MICROSECONDS_PER_MS = 1000;

/** Converts event dumps to a trace in which each dump is a process. */
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
    ts: event.atMs * MICROSECONDS_PER_MS,
    args: { requestId, subject, detail },
  };
  if (event.durationMs === undefined) return { ...common, ph: 'i', s: 'p' };
  return { ...common, ph: 'X', dur: event.durationMs * MICROSECONDS_PER_MS };
}
