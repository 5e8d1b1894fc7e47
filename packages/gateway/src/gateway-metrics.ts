import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Tenants beyond this number share one label value, so that the number of time series stays bounded. */
const MAX_TENANT_LABELS = 100;
const OTHER_TENANTS = 'other';

const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 2, 4, 8, 16];

/** Metrics of a gateway, served as text on its metrics address. docs/reference/metrics.md lists them. */
export class GatewayMetrics {
  readonly registry = new Registry();
  readonly buildInfo = new Gauge({
    name: 'canvasridge_build_info',
    help: '1, labelled with the build that runs: the first digits of the digest of its code',
    labelNames: ['build'],
    registers: [this.registry],
  });
  readonly requests = new Counter({
    name: 'canvasridge_requests_total',
    help: 'Requests that ended, by kind of route and status given to the client (0: broken off or client left)',
    labelNames: ['route_kind', 'status'],
    registers: [this.registry],
  });
  readonly tenantRequests = new Counter({
    name: 'canvasridge_tenant_requests_total',
    help: `Requests that ended, by tenant (beyond ${MAX_TENANT_LABELS} as "${OTHER_TENANTS}") and status`,
    labelNames: ['tenant', 'status'],
    registers: [this.registry],
  });
  readonly #tenants = new Set<string>();
  readonly retries = new Counter({
    name: 'canvasridge_retries_total',
    help: 'Sends to another backend, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });
  readonly resumedStreams = new Counter({
    name: 'canvasridge_streams_resumed_total',
    help: 'Streams that clients resumed, by how the version that began them was known (unknown: refused)',
    labelNames: ['from'],
    registers: [this.registry],
  });
  readonly relayed = new Counter({
    name: 'canvasridge_relayed_total',
    help: 'Requests of other nodes that this node sent to backends for them, by outcome',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  readonly pathsImpaired = new Gauge({
    name: 'canvasridge_paths_impaired',
    help: '1 for a service to whose backends this node can open no connection, 0 when it can again',
    labelNames: ['service'],
    registers: [this.registry],
  });
  readonly interrupted = new Counter({
    name: 'canvasridge_requests_interrupted_total',
    help: 'Sends that a backend broke off, by whether the answer had begun',
    labelNames: ['begun'],
    registers: [this.registry],
  });
  readonly silentAttempts = new Counter({
    name: 'canvasridge_attempts_silent_total',
    help: 'Attempts whose backend sent nothing for their limit, by result (waiting: once for each obstacle to a takeover; replaced: another backend took over)',
    labelNames: ['result'],
    registers: [this.registry],
  });
  readonly quarantined = new Gauge({
    name: 'canvasridge_requests_quarantined',
    help: 'Requests that are sent to no backend, as several ended under them',
    registers: [this.registry],
  });
  readonly firstByte = new Histogram({
    name: 'canvasridge_first_byte_seconds',
    help: 'Arrival of a request to the first byte of its answer',
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly configurationVersion = new Gauge({
    name: 'canvasridge_configuration_version',
    help: 'Version of the configuration in force, 0 for none',
    registers: [this.registry],
  });
  readonly members = new Gauge({
    name: 'canvasridge_members',
    help: 'Nodes believed present, this one included',
    registers: [this.registry],
  });
  readonly poolWaiting = new Gauge({
    name: 'canvasridge_pool_waiting',
    help: 'Requests that wait for a slot of a pool that this node leads',
    labelNames: ['pool'],
    registers: [this.registry],
  });
  readonly storeEra = new Gauge({
    name: 'canvasridge_store_era',
    help: 'Era of the publishing store, which rises each time it comes back from a copy; -1 if it names none',
    registers: [this.registry],
  });
  readonly listAge = new Gauge({
    name: 'canvasridge_backend_list_age_seconds',
    help: 'Time for which the list of backends may have changed unnoticed',
    registers: [this.registry],
  });
  readonly configurationAge = new Gauge({
    name: 'canvasridge_configuration_age_seconds',
    help: 'Time since the configuration in force was known to be the newest',
    registers: [this.registry],
  });
  readonly departures = new Counter({
    name: 'canvasridge_backend_departures_total',
    help: 'Backends that this node found to leave, by state (draining, gone)',
    labelNames: ['state'],
    registers: [this.registry],
  });
  readonly notices = new Counter({
    name: 'canvasridge_backend_notices_total',
    help: 'Answers in which a backend said something of itself, by notice (leaving, backoff, rate-limit)',
    labelNames: ['notice'],
    registers: [this.registry],
  });
  readonly loopLag = new Gauge({
    name: 'canvasridge_loop_lag_seconds',
    help: 'How late timers of the process ran in the last two seconds, mean',
    registers: [this.registry],
  });
  readonly peerBytes = new Counter({
    name: 'canvasridge_peer_bytes_total',
    help: 'Bytes sent to other nodes over connections, by method, answers included',
    labelNames: ['method'],
    registers: [this.registry],
  });
  readonly peerWaiting = new Gauge({
    name: 'canvasridge_peer_waiting_bytes',
    help: 'Most bytes that waited to be sent to other nodes in the last second',
    registers: [this.registry],
  });
  readonly residentMemory = new Gauge({
    name: 'canvasridge_resident_memory_bytes',
    help: 'Resident memory of the process, buffers included',
    registers: [this.registry],
  });
  readonly heap = new Gauge({
    name: 'canvasridge_heap_bytes',
    help: 'Objects in the heap of the process',
    registers: [this.registry],
  });
  readonly heapLimit = new Gauge({
    name: 'canvasridge_heap_limit_bytes',
    help: 'Size of the heap at which the process ends',
    registers: [this.registry],
  });
  readonly errors = new Counter({
    name: 'canvasridge_errors_total',
    help: 'Log lines of level error, by event',
    labelNames: ['event'],
    registers: [this.registry],
  });
  readonly droppedLogLines = new Gauge({
    name: 'canvasridge_log_lines_dropped',
    help: 'Log lines left out since the start',
    registers: [this.registry],
  });

  /** @param tenant undefined for requests without a tenant, which are not counted */
  countTenant(tenant: string | undefined, status: number): void {
    if (tenant === undefined) return;
    if (this.#tenants.size < MAX_TENANT_LABELS) this.#tenants.add(tenant);
    const label = this.#tenants.has(tenant) ? tenant : OTHER_TENANTS;
    this.tenantRequests.inc({ tenant: label, status: String(status) });
  }
}
