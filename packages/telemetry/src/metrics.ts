import { StatsD } from 'hot-shots';

/** All metrics with name, kind, unit and meaning. Keep docs/reference/metrics.md in step with this table. */
export const METRICS = {
  'requests.accepted': { kind: 'counter', unit: 'requests', meaning: 'requests that passed admission' },
  'requests.completed': { kind: 'counter', unit: 'requests', meaning: 'requests answered whole' },
  'requests.refused': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'requests refused, tagged by error code',
  },
  'requests.unknown': { kind: 'counter', unit: 'requests', meaning: 'requests whose execution is not known' },
  'requests.retried': {
    kind: 'counter',
    unit: 'attempts',
    meaning: 'further attempts of repeatable requests',
  },
  'requests.forwarded': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'requests sent to the owner of an engine',
  },
  'requests.resumed': {
    kind: 'counter',
    unit: 'streams',
    meaning: 'streams continued after a broken connection',
  },
  'request.first_token': { kind: 'timing', unit: 'ms', meaning: 'arrival to first byte of the answer' },
  'request.load_stall': { kind: 'timing', unit: 'ms', meaning: 'time waited for an adapter load' },
  'adapter.loads': { kind: 'counter', unit: 'loads', meaning: 'adapter loads ordered' },
  'adapter.load_failures': { kind: 'counter', unit: 'loads', meaning: 'adapter loads that failed' },
  'adapter.unloads': { kind: 'counter', unit: 'unloads', meaning: 'adapter unloads ordered' },
  'engine.batch': { kind: 'gauge', unit: 'requests', meaning: 'requests running on an owned engine' },
  'engine.queue': { kind: 'gauge', unit: 'requests', meaning: 'requests queued for an owned engine' },
  'ownership.claimed': { kind: 'counter', unit: 'engines', meaning: 'engines claimed' },
  'ownership.lost': { kind: 'counter', unit: 'engines', meaning: 'engines lost: lease ended or fence stale' },
  'membership.alive': { kind: 'gauge', unit: 'nodes', meaning: 'members believed alive, this node included' },
  'configuration.revision': { kind: 'gauge', unit: 'revision', meaning: 'revision in force' },
  'configuration.reads': {
    kind: 'counter',
    unit: 'reads',
    meaning: 'reads sent to the configuration service',
  },
} as const;

export type MetricName = keyof typeof METRICS;

/** Receives measurements. Tags have the StatsD form `key:value`. */
export interface Metrics {
  count(name: MetricName, value?: number, tags?: readonly string[]): void;
  gauge(name: MetricName, value: number, tags?: readonly string[]): void;
  timing(name: MetricName, valueMs: number, tags?: readonly string[]): void;
  close(): void;
}

/** Sends metrics over StatsD; several metrics are buffered into one datagram. */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD;

  constructor(host: string, port: number, processName: string) {
    this.#client = new StatsD({
      host,
      port,
      prefix: 'canvasridge.',
      globalTags: { process: processName },
      maxBufferSize: 1200,
      errorHandler: () => undefined, // best effort: a missing collector must not disturb request handling
    });
  }

  count(name: MetricName, value = 1, tags: readonly string[] = []): void {
    this.#client.increment(name, value, [...tags]);
  }

  gauge(name: MetricName, value: number, tags: readonly string[] = []): void {
    this.#client.gauge(name, value, [...tags]);
  }

  timing(name: MetricName, valueMs: number, tags: readonly string[] = []): void {
    this.#client.timing(name, valueMs, [...tags]);
  }

  close(): void {
    this.#client.close(() => undefined);
  }
}

/** Discards all metrics; used where no collector is configured. */
export class NullMetrics implements Metrics {
  count(): void {}
  gauge(): void {}
  timing(): void {}
  close(): void {}
}
