import { RevisionStore } from '@canvasridge/configuration';
import type { EngineClient, EngineError, GenerationEnd, StreamSink } from '@canvasridge/domain';
import type { PeerCaller } from '@canvasridge/membership';
import { ok, type Result, type ResultAsync } from 'neverthrow';
import type { PortOverrides } from '../simulation/fleet.js';
import type { PromiseName } from './checker.js';
import type { FaultKind } from './schedule.js';

/** Disables one safeguard of the nodes, to show that the checker detects the violation that follows. */
export interface DisabledSafeguard {
  readonly name: string;
  /** The promise that is violated without the safeguard. */
  readonly promise: PromiseName;
  readonly description: string;
  readonly overrides: PortOverrides;
  /** Faults added to each schedule, to create situations in which the safeguard is needed. */
  readonly faults: readonly FaultKind[];
  /** Linger time of planned stops; 0 makes them wait for nothing. */
  readonly lingerMs?: number;
  /** Request rate at which the violation occurs, in place of that of the campaign. */
  readonly requestsPerSecond?: number;
}

/** All safeguards that can be disabled with `--break`; `--list-breaks` prints them. */
export const DISABLED_SAFEGUARDS: readonly DisabledSafeguard[] = [
  {
    name: 'served-model',
    promise: 'right-adapter',
    description: 'a node asks the engine for the first version, whatever version the request names',
    overrides: { engine: (client) => new FirstVersionClient(client) },
    faults: ['publish-revision', 'publish-revision'],
  },
  {
    name: 'idle-proof',
    promise: 'never-unload-serving',
    description: 'every report shows all adapters as idle',
    overrides: { engine: (client) => new IdleReportClient(client) },
    faults: ['stop-node', 'stop-node', 'stop-node', 'popularity-jump', 'popularity-jump'],
    requestsPerSecond: 40,
  },
  {
    name: 'witness-lease',
    promise: 'never-unload-serving',
    description:
      'leases on engines that do not check fences are assumed to last ten times as long, and orders never to arrive late',
    // A node assumes that a lease lasts (1 - maxClockDrift) times its length.
    overrides: { ownershipTiming: { maxClockDrift: -9, orderTimeoutMs: 0 } },
    faults: ['pause-node', 'pause-node', 'pause-node', 'popularity-jump', 'popularity-jump'],
    requestsPerSecond: 40,
  },
  {
    name: 'resume-position',
    promise: 'whole-answer',
    description: 'a broken stream is continued one event early',
    overrides: { engine: (client) => new EarlyResumeClient(client) },
    faults: ['cut-engine', 'cut-engine', 'kill-node'],
  },
  {
    name: 'unknown-outcome',
    promise: 'true-refusals',
    description: 'a connection that broke after sending counts as not executed',
    overrides: { engine: (client) => new NotExecutedClient(client) },
    faults: ['cut-engine', 'engine-down', 'partition'],
  },
  {
    name: 'key-home',
    promise: 'at-most-once',
    description: 'every node is told that it may run requests with keys of other homes',
    overrides: { peers: (caller) => new KeyGrantingPeerCaller(caller) },
    faults: ['one-way-cut', 'kill-node', 'service-breaks'],
  },
  {
    name: 'leaving-machines',
    promise: 'leaving-back-ends',
    description: 'the machine list is read without its leaving machines',
    overrides: {
      machines: (machines) => ({ list: () => machines.list().map((list) => list.filter(isLive)) }),
    },
    faults: ['engine-leaves', 'engine-leaves'],
  },
  {
    name: 'drain',
    promise: 'planned-stops',
    description: 'a planned stop does not wait for running requests',
    overrides: {},
    faults: ['stop-node', 'stop-node'],
    lingerMs: 0,
  },
  {
    name: 'plan-base',
    promise: 'configuration',
    description: 'a revision is put in force whatever revision it was planned against',
    overrides: { revisionStore: () => new UncheckedRevisionStore() },
    faults: ['operator-race', 'operator-race', 'configuration-stale'],
  },
];

function isLive(machine: { readonly state: string }): boolean {
  return machine.state === 'live';
}

type Generated = ResultAsync<GenerationEnd, EngineError>;

/** Delegates all calls to another client; subclasses override single calls. */
class DelegatingEngineClient implements EngineClient {
  protected readonly inner: EngineClient;

  constructor(inner: EngineClient) {
    this.inner = inner;
  }

  generate(
    request: Parameters<EngineClient['generate']>[0],
    sink: StreamSink,
    signal: AbortSignal,
  ): Generated {
    return this.inner.generate(request, sink, signal);
  }

  resume(requestId: string, afterEventId: number, sink: StreamSink, signal: AbortSignal): Generated {
    return this.inner.resume(requestId, afterEventId, sink, signal);
  }

  order(...parameters: Parameters<EngineClient['order']>): ReturnType<EngineClient['order']> {
    return this.inner.order(...parameters);
  }

  report(): ReturnType<EngineClient['report']> {
    return this.inner.report();
  }
}

/** Uses the first version of an adapter, whatever version was asked for. */
class FirstVersionClient extends DelegatingEngineClient {
  override generate(
    request: Parameters<EngineClient['generate']>[0],
    sink: StreamSink,
    signal: AbortSignal,
  ): Generated {
    return this.inner.generate({ ...request, model: { ...request.model, version: 'v1' } }, sink, signal);
  }

  override order(
    ...[fence, order, signal]: Parameters<EngineClient['order']>
  ): ReturnType<EngineClient['order']> {
    const changed = 'version' in order ? { ...order, version: 'v1' } : order;
    return this.inner.order(fence, changed, signal);
  }
}

/** Reports every adapter as idle. */
class IdleReportClient extends DelegatingEngineClient {
  override report(): ReturnType<EngineClient['report']> {
    return this.inner.report().map((report) => ({
      ...report,
      adapters: report.adapters.map((adapter) => ({ ...adapter, running: 0 })),
    }));
  }
}

/** Resumes streams one event too early. */
class EarlyResumeClient extends DelegatingEngineClient {
  override resume(requestId: string, afterEventId: number, sink: StreamSink, signal: AbortSignal): Generated {
    return this.inner.resume(requestId, Math.max(-1, afterEventId - 1), sink, signal);
  }
}

/** Reports a request whose connection broke as not executed. */
class NotExecutedClient extends DelegatingEngineClient {
  override generate(
    request: Parameters<EngineClient['generate']>[0],
    sink: StreamSink,
    signal: AbortSignal,
  ): Generated {
    return this.inner
      .generate(request, sink, signal)
      .mapErr((error) =>
        error.kind === 'broken' ? { kind: 'unreachable', executed: 'no', detail: error.detail } : error,
      );
  }
}

/** Turns every response to a key transfer into a grant. */
class KeyGrantingPeerCaller implements PeerCaller {
  readonly #inner: PeerCaller;

  constructor(inner: PeerCaller) {
    this.#inner = inner;
  }

  call: PeerCaller['call'] = async (peerUrl, method, params, answer, timeoutMs) => {
    const response = await this.#inner.call(peerUrl, method, params, answer, timeoutMs);
    if (method !== 'keys.transfer') return response;
    const granted: Result<unknown, never> = ok({ transfer: 'granted', process: '' });
    return granted as typeof response;
  };
}

/** Accepts a revision whatever revision it was planned against. */
class UncheckedRevisionStore extends RevisionStore {
  override checkHead(): ReturnType<RevisionStore['checkHead']> {
    return ok();
  }
}
