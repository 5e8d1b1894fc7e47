import { createServer, request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { QuotaShares, type QuotaDecision } from '@canvasridge/admission';
import { Random, SystemClock, type Clock } from '@canvasridge/clock';
import {
  FleetState,
  VersionGrace,
  type HttpRoute,
  type RouteKind,
  type ServingConfiguration,
  type Tenant,
} from '@canvasridge/serving';
import { EventLogger, LimitedEvents, Telemetry } from '@canvasridge/telemetry';
import { AdapterVersionCheck } from '../src/backends/adapter-version-check.js';
import { BackendAvailability } from '../src/backends/backend-availability.js';
import { BackendBackoffs } from '../src/backends/backend-backoffs.js';
import { BackendConnections } from '../src/backends/backend-connections.js';
import { BackendRateLimits } from '../src/backends/backend-rate-limits.js';
import { BackendNotices } from '../src/backends/backend-notices.js';
import { LeastLoadedPicker } from '../src/backends/least-loaded-picker.js';
import type { BackendPicker } from '../src/backends/picker.js';
import { RetryBudget } from '../src/backends/retry-budget.js';
import { GatewayMetrics } from '../src/gateway-metrics.js';
import { BackendResponsiveness } from '../src/paths/backend-responsiveness.js';
import { httpProbe } from '../src/paths/http-probe.js';
import type { PathState } from '../src/paths/service-path.js';
import type { Relays } from '../src/relay/relays.js';
import { BackendHops } from '../src/request/backend-hops.js';
import { BodyMemoryBudget } from '../src/request/body-memory-budget.js';
import { ResponseMemoryBudget } from '../src/request/response-memory-budget.js';
import type { RequestDialect } from '../src/request/dialect.js';
import { PendingBodies } from '../src/request/pending-bodies.js';
import { ReadTurns } from '../src/request/read-turns.js';
import { Exchange } from '../src/request/exchange.js';
import type { ExchangeContext } from '../src/request/exchange-context.js';
import { PROBE_PATH, RawBackend, type RawResponder } from './raw-backend.js';

/** Dialect for tests. Its header names differ from those of any platform. */
export const dialect: RequestDialect = {
  probePath: PROBE_PATH,
  readRequest: (headers) => ({
    attemptId: headers['attempt-id'] as string | undefined,
    deadlineMs: headers['deadline'] === undefined ? undefined : Number(headers['deadline']),
    lastEventId: undefined,
    resumedAttemptId: undefined,
    generation: undefined,
    sharedParts: ((headers['shared-parts'] as string | undefined) ?? '').split(',').filter((id) => id !== ''),
    key: headers['key'] as string | undefined,
    tokens: headers['tokens'] === undefined ? undefined : Number(headers['tokens']),
  }),
  forwardHeaders: (rawHeaders, facts) => [
    ...rawHeaders.filter(
      (_, index) =>
        !/^(connection|content-length|transfer-encoding)$/i.test(rawHeaders[index - (index % 2)] ?? ''),
    ),
    'backend',
    facts.backendId,
    'left',
    String(facts.deadlineMs),
    ...(facts.identity.kind === 'tenant' ? ['tenant', facts.identity.tenant.name] : []),
    ...(facts.lastEventId === undefined ? [] : ['last-event-id', String(facts.lastEventId)]),
  ],
  readResponse: (status, headers) => ({
    isNotRun: headers['not-run'] !== undefined || status === 421,
    attemptId: headers['attempt-id'] as string | undefined,
    isStamped: headers['response-stamp'] !== undefined,
    notice: {
      isLeaving: headers['leaving'] !== undefined,
      backoffMs: headers['backoff'] === undefined ? undefined : Number(headers['backoff']),
      rateLimit: headers['rate-limit'] === undefined ? 'none' : Number(headers['rate-limit']),
    },
  }),
  refusalHeaders: (retryAfterMs) =>
    retryAfterMs === undefined ? {} : { 'retry-after': (retryAfterMs / 1000).toFixed(3) },
};

export const SERVICE = 'api';
/** How long a configuration may be relied upon for access rights that can be revoked. */
export const LEASE_MS = 3000;
export const HOST = 'a.example';
/** How long a request is quarantined. */
const QUARANTINE_MS = 60_000;

export interface RouteOverrides {
  readonly kind?: RouteKind;
  readonly attempts?: number;
  readonly resumable?: boolean;
  readonly timeoutMs?: number;
  readonly objectiveMs?: number;
  readonly isPublic?: boolean;
}

/** A tenant without a quota. */
export function tenant(name: string, keys: readonly string[], changes: Partial<Tenant> = {}): Tenant {
  return { name, keys, priority: undefined, quota: undefined, problem: undefined, ...changes };
}

/** The response as the client received it. */
export interface ClientResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the response is complete according to its framing. */
  readonly whole: boolean;
}

/** Sends one request on a new connection. */
export function callNode(
  port: number,
  attemptId: string,
  { path = '/x/', body = 'question', headers = {}, onData }: CallOptions = {},
): Promise<ClientResponse> {
  return new Promise((resolve) => {
    const outgoing = request(
      {
        host: '127.0.0.1',
        port,
        method: 'POST',
        path,
        headers: { host: HOST, 'attempt-id': attemptId, ...headers },
        agent: false,
      },
      (incoming) => {
        let text = '';
        incoming.setEncoding('utf8');
        incoming.on('data', (part: string) => {
          text += part;
          onData?.();
        });
        incoming.on('error', () => undefined);
        incoming.on('close', () => {
          const { statusCode = 0, headers: seen, complete } = incoming;
          resolve({ status: statusCode, headers: seen, body: text, whole: complete });
        });
      },
    );
    outgoing.on('error', () => resolve({ status: 0, headers: {}, body: '', whole: false }));
    outgoing.end(body);
  });
}

export interface CallOptions {
  readonly path?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  /** Called whenever the client has received a part of the response body. */
  readonly onData?: () => void;
}

/** Runs exchanges over real sockets, between a client and scripted backends. */
export class Harness {
  readonly fleet = new FleetState();
  /** Log lines of the gateway. */
  readonly lines: string[] = [];
  /** Called after a backend was chosen and before the request is sent to it. */
  beforeSend: () => Promise<void> = () => Promise.resolve();
  /** Whether the backend list is too old for a request to be written now. */
  isListTooOld: () => boolean = () => false;
  /** Retry-After of requests that can't be served for want of a recent configuration. */
  outageRetryMs: (cause: string, callerLeftMs: number) => number = () => 500;
  /** Whether other nodes serve requests, to which callers may go. */
  hasOtherServingNodes = false;
  /** Age of the configuration that the gateway reports. */
  configurationAgeMs = 0;
  /** How long a request may have lain unread when it is read. */
  unreadMs = 0;
  /** Memory for two bodies of the largest size at a time, and a little more. */
  readonly bodyMemory = new BodyMemoryBudget(200_000);
  /** Memory for two error responses of the largest size at a time, and a little more. */
  readonly responseMemory = new ResponseMemoryBudget(10_000_000, new SystemClock(), {
    event: (...parameters) => this.lines.push(JSON.stringify(parameters)),
  });
  /** Decides on charges to tenants' quotas. */
  admit: (subject: string, units: number) => Promise<QuotaDecision> = () =>
    Promise.resolve({ kind: 'admitted' });
  /** Units given back for requests that did not run. */
  readonly refundedUnits: number[] = [];
  /** Opens the way through another node; there is none. */
  openRelay: Relays['open'] = () => Promise.resolve(undefined);
  /** The state of the paths to all backends. */
  pathState: PathState = 'working';
  /** Whether other nodes reach the backends while the path of this one is impaired. */
  isCutOff = true;
  /** Whether the quarantine keeps all requests from backends. */
  isQuarantined: () => boolean = () => false;
  /** Reports to the quarantine, in order. */
  readonly quarantineReports: string[] = [];
  /** How picked backends were given back, in order, as `ID OUTCOME`. */
  readonly uses: string[] = [];
  /** Backends that were picked and not given back yet. */
  picked = 0;
  /** Requests that wait for an answer, as far as the paths were told. */
  waits = 0;
  readonly paths = {
    state: (): PathState => this.pathState,
    beginWait: () => void (this.waits += 1),
    endWait: () => void (this.waits -= 1),
    received: () => undefined,
    isOwnFailure: () => Promise.resolve(false),
  };
  readonly #connections = new BackendConnections();
  readonly #backends: RawBackend[] = [];
  readonly #server: Server;

  private constructor(context: (harness: Harness) => ExchangeContext) {
    const exchangeContext = context(this);
    this.#server = createServer((incoming, response) => {
      void new Exchange(exchangeContext, incoming, response).run();
    });
  }

  /** @param changes undefined for a gateway that has no configuration yet */
  static async start(
    changes: RouteOverrides | undefined,
    responders: readonly RawResponder[],
    clock: Clock = new SystemClock(),
  ): Promise<Harness> {
    const harness = new Harness((self) => self.#context(clock));
    if (changes !== undefined) harness.fleet.applyConfiguration(configuration(changes));
    for (const [index, answer] of responders.entries()) {
      const backend = await RawBackend.start(answer);
      harness.#backends.push(backend);
      harness.fleet.applyBackend(index + 1, backend.description(`i${index + 1}`, SERVICE));
    }
    await new Promise<void>((resolve) => harness.#server.listen(0, '127.0.0.1', resolve));
    return harness;
  }

  /** Port to which clients connect. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get backends(): readonly RawBackend[] {
    return this.#backends;
  }

  /** Number of requests that reached any backend. */
  get sends(): number {
    return this.#backends.reduce((sum, backend) => sum + backend.requestHeads.length, 0);
  }

  call(
    attemptId: string,
    path = '/x/',
    body = 'question',
    headers: Record<string, string> = {},
    onData?: () => void,
  ): Promise<ClientResponse> {
    const { port } = this.#server.address() as AddressInfo;
    return callNode(port, attemptId, { path, body, headers, ...(onData === undefined ? {} : { onData }) });
  }

  /** Sends a request and closes its connection when `until` resolves. */
  async callAndDisconnect(attemptId: string, until: Promise<void>): Promise<void> {
    const { port } = this.#server.address() as AddressInfo;
    const headers = { host: HOST, 'attempt-id': attemptId };
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path: '/x/', headers, agent: false });
    outgoing.on('error', () => undefined);
    outgoing.end('question');
    await until;
    outgoing.destroy();
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
    this.#connections.close();
    for (const backend of this.#backends) backend.stop();
  }

  #recordingUses(picker: BackendPicker): BackendPicker {
    return {
      pick: async (context, cancelled) => {
        const picked = await picker.pick(context, cancelled);
        if (picked.kind === 'none') return picked;
        this.picked += 1;
        return {
          ...picked,
          finish: (outcome, progress) => {
            this.picked -= 1;
            this.uses.push(`${picked.backend.id} ${outcome}`);
            picked.finish(outcome, progress);
          },
        };
      },
    };
  }

  #context(clock: Clock): ExchangeContext {
    const random = new Random(1);
    const { fleet } = this;
    const backoffs = new BackendBackoffs(clock);
    const quotas = new QuotaShares({
      clock,
      rules: (id) => rateLimits.rule(id),
      share: () => 1,
      initialBurstFraction: 0,
    });
    const rateLimits: BackendRateLimits = new BackendRateLimits({
      clock,
      admit: (id) => quotas.admit(id, 1),
    });
    const availability = new BackendAvailability({
      fleet,
      backoffs,
      rateLimits,
      clock,
      hasOtherServingNodes: () => this.hasOtherServingNodes,
    });
    const picker = this.#recordingUses(new LeastLoadedPicker(fleet, availability, clock, random));
    const budget = new RetryBudget(clock, { ratio: 0.2, windowMs: 10_000, slack: 50 }, () => 1);
    const telemetry = new Telemetry({
      processName: 'test',
      clock,
      logger: new EventLogger('test', 'info', (line) => this.lines.push(line)),
    });
    const metrics = new GatewayMetrics();
    let nextId = 0;
    const bodyEvents = new LimitedEvents(telemetry, clock);
    return {
      clock,
      dialect,
      fleet: this.fleet,
      connections: this.#connections,
      notices: new BackendNotices({
        fleet,
        backoffs,
        rateLimits,
        rejectionLimits: { recordNotice: () => undefined },
        onRateLimit: () => undefined,
        clock,
        telemetry,
        metrics,
      }),
      availability,
      plainPicker: picker,
      enginePicker: picker,
      budget: () => budget,
      hops: new BackendHops({
        clock,
        connections: this.#connections,
        paths: this.paths,
        relays: { open: (...parameters) => this.openRelay(...parameters) },
        fleetShare: () => 1,
      }),
      paths: this.paths,
      fleetPaths: { isCutOff: () => this.isCutOff },
      responsiveness: new BackendResponsiveness({
        clock,
        random,
        fleet,
        connections: this.#connections,
        probe: httpProbe(dialect.probePath, telemetry),
        telemetry,
      }),
      isStopping: () => false,
      stopsInMs: () => Infinity,
      nextId: () => String((nextId += 1)),
      random: () => random.next(),
      listAgeMs: () => 0,
      outageRetryMs: (cause, callerLeftMs) => this.outageRetryMs(cause, callerLeftMs),
      lagMs: () => 0,
      unreadMs: () => this.unreadMs,
      adapterVersions: new AdapterVersionCheck(fleet, new VersionGrace({ clock, fleet, boundMs: undefined })),
      isListTooOld: () => this.isListTooOld(),
      refreshIfOld: () => this.beforeSend(),
      configurationLease: () => ({ ageMs: this.configurationAgeMs, leaseMs: LEASE_MS }),
      bodies: new PendingBodies({
        memory: this.bodyMemory,
        clock,
        unreadMs: () => this.unreadMs,
        events: bodyEvents,
      }),
      readTurns: new ReadTurns(),
      bodyEvents,
      responseMemory: this.responseMemory,
      streamVersions: { began: () => undefined, find: () => Promise.resolve(undefined) },
      quarantine: {
        isEmpty: false,
        remainingMs: () => (this.isQuarantined() ? QUARANTINE_MS : undefined),
        retryAfterMs: () => 0,
        isTrialDue: () => false,
        requestTrial: () => Promise.resolve(false),
        interrupted: (_, backendId) => {
          this.quarantineReports.push(`interrupted ${backendId}`);
          return Promise.resolve();
        },
        unresolved: (_, backendId) => {
          this.quarantineReports.push(`unresolved ${backendId}`);
        },
        completed: () => undefined,
      },
      partCrashes: {
        crashed: () => Promise.resolve(),
        unresolved: () => undefined,
        ran: () => undefined,
      },
      quotas: {
        admit: (subject, units) => this.admit(subject, units),
        giveBack: (_, units) => {
          this.refundedUnits.push(units);
        },
      },
      telemetry,
      metrics,
    };
  }
}

/** A configuration with one route, to one service without model engines. */
export function configuration(
  changes: RouteOverrides,
  tenants?: readonly Tenant[],
  version = 1,
): ServingConfiguration {
  const route: HttpRoute = {
    name: 'r',
    host: HOST,
    pathPrefix: '/x/',
    kind: 'idempotent',
    services: [{ service: SERVICE, weight: 1 }],
    timeoutMs: 4000,
    patienceMs: undefined,
    objectiveMs: 1000,
    priority: 1,
    attempts: 2,
    resumable: false,
    isPublic: false,
    ...changes,
  };
  return {
    version,
    routes: [route],
    services: [{ name: SERVICE, maxConnections: 50, engine: undefined }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    tenants,
  };
}
