import { RevisionStore } from '@canvasridge/configuration';
import type { EngineClient, EngineError, GenerationEnd, StreamSink } from '@canvasridge/domain';
import type { PeerCaller } from '@canvasridge/membership';
import { ok, type Result, type ResultAsync } from 'neverthrow';
import type { PortChanges } from '../simulation/fleet.js';
import type { Promise8 } from './checker.js';
import type { FaultKind } from './schedule.js';

/** A safeguard taken out of action, to show that the checker notices. */
export interface Break {
  readonly name: string;
  readonly promise: Promise8;
  readonly what: string;
  readonly changes: PortChanges;
  /** Faults that are added to each schedule, so that the missing safeguard is needed. */
  readonly faults: readonly FaultKind[];
  readonly lingerMs?: number;
  /** Traffic that the missing safeguard needs to show. */
  readonly requestsPerSecond?: number;
}

/** All breaks; `--list-breaks` prints them. */
export const BREAKS: readonly Break[] = [
  {
    name: 'served-model',
    promise: 'right-adapter',
    what: 'a node asks the engine for the first version, whatever version the request names',
    changes: { engine: (client) => new FirstVersionClient(client) },
    faults: ['publish-revision', 'publish-revision'],
  },
  {
    name: 'idle-proof',
    promise: 'never-unload-serving',
    what: 'reports are believed to show every adapter idle',
    changes: { engine: (client) => new IdleReportClient(client) },
    faults: ['stop-node', 'stop-node', 'stop-node', 'popularity-jump', 'popularity-jump'],
    requestsPerSecond: 40,
  },
  {
    name: 'witness-lease',
    promise: 'never-unload-serving',
    what: 'leases on engines that check no fences are believed to last ten times as long, and no order to be late',
    changes: { ownershipTiming: { maxClockDrift: -9, orderTimeoutMs: 0 } },
    faults: ['pause-node', 'pause-node', 'pause-node', 'popularity-jump', 'popularity-jump'],
    requestsPerSecond: 40,
  },
  {
    name: 'resume-position',
    promise: 'whole-answer',
    what: 'a broken stream is continued one event early',
    changes: { engine: (client) => new EarlyResumeClient(client) },
    faults: ['cut-engine', 'cut-engine', 'kill-node'],
  },
  {
    name: 'unknown-outcome',
    promise: 'true-refusals',
    what: 'a connection that broke after sending counts as not executed',
    changes: { engine: (client) => new OptimisticClient(client) },
    faults: ['cut-engine', 'engine-down', 'partition'],
  },
  {
    name: 'key-home',
    promise: 'at-most-once',
    what: 'every node is told that it may run a key whose home it is not',
    changes: { peers: (caller) => new GenerousCaller(caller) },
    faults: ['one-way-cut', 'kill-node', 'service-breaks'],
  },
  {
    name: 'leaving-machines',
    promise: 'leaving-back-ends',
    what: 'the machine list is read without its leaving machines',
    changes: { machines: (machines) => ({ list: () => machines.list().map((list) => list.filter(isLive)) }) },
    faults: ['engine-leaves', 'engine-leaves'],
  },
  {
    name: 'drain',
    promise: 'planned-stops',
    what: 'a planned stop does not wait for running requests',
    changes: {},
    faults: ['stop-node', 'stop-node'],
    lingerMs: 0,
  },
  {
    name: 'plan-base',
    promise: 'configuration',
    what: 'a revision is put in force whatever revision it was planned against',
    changes: { revisionStore: () => new CredulousStore() },
    faults: ['operator-race', 'operator-race', 'configuration-stale'],
  },
];

function isLive(machine: { readonly state: string }): boolean {
  return machine.state === 'live';
}

type Generated = ResultAsync<GenerationEnd, EngineError>;

/** Passes everything on; each break overrides one call. */
class PassingClient implements EngineClient {
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

class FirstVersionClient extends PassingClient {
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

class IdleReportClient extends PassingClient {
  override report(): ReturnType<EngineClient['report']> {
    return this.inner.report().map((report) => ({
      ...report,
      adapters: report.adapters.map((adapter) => ({ ...adapter, running: 0 })),
    }));
  }
}

class EarlyResumeClient extends PassingClient {
  override resume(requestId: string, afterEventId: number, sink: StreamSink, signal: AbortSignal): Generated {
    return this.inner.resume(requestId, Math.max(-1, afterEventId - 1), sink, signal);
  }
}

class OptimisticClient extends PassingClient {
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

class GenerousCaller implements PeerCaller {
  readonly #inner: PeerCaller;

  constructor(inner: PeerCaller) {
    this.#inner = inner;
  }

  call: PeerCaller['call'] = async (peerUrl, method, params, answer, timeoutMs) => {
    const real = await this.#inner.call(peerUrl, method, params, answer, timeoutMs);
    if (method !== 'keys.transfer') return real;
    const granted: Result<unknown, never> = ok({ transfer: 'granted', process: '' });
    return granted as typeof real;
  };
}

class CredulousStore extends RevisionStore {
  override checkHead(): ReturnType<RevisionStore['checkHead']> {
    return ok();
  }
}
