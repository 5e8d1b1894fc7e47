import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { FleetState } from '@canvasridge/serving';
import { errorFields, runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { BackendAvailability } from '../backends/backend-availability.js';
import type { BackendNotices } from '../backends/backend-notices.js';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { BackendHops } from '../request/backend-hops.js';
import type { ResponseMemoryBudget } from '../request/response-memory-budget.js';
import { readBody } from '../request/body.js';
import type { RequestDialect } from '../request/dialect.js';
import { connectionHeaderNames, isEndToEndHeader } from '../request/hop-headers.js';
import type { PendingBodies } from '../request/pending-bodies.js';
import type { ReadTurns } from '../request/read-turns.js';
import { RELAY_HEADER, type RelayFailure } from './relay-protocol.js';
import { RelayedAttempt, type RelayOutcome } from './relayed-attempt.js';

export interface RelayServerOptions {
  readonly fleet: FleetState;
  readonly hops: Pick<BackendHops, 'openDirect'>;
  readonly availability: Pick<BackendAvailability, 'isBackingOff'>;
  readonly notices: Pick<BackendNotices, 'handleNotice'>;
  readonly dialect: RequestDialect;
  readonly bodies: PendingBodies;
  readonly readTurns: ReadTurns;
  readonly responseMemory: ResponseMemoryBudget;
  /** Whether the backend list is too old for a request to be written now. */
  readonly isListTooOld: () => boolean;
  readonly isStopping: () => boolean;
  readonly telemetry: Telemetry;
  readonly metrics: GatewayMetrics;
}

/** Requests that this node relays for others at a time, at most. */
const MAX_RUNNING = 256;
/** Status of a response of this node itself; the node that asked reads the reason from a header. */
const STATUS_FAILURE = 503;
const MAX_HEADER_BYTES = 65_536;

/** How far a relayed request has got. */
interface RelayProgress {
  mayHaveRun: boolean;
}

/**
 * Sends requests of other nodes on to backends that those can't reach, and passes the responses back as they
 * come. Whether to send a request, and how often, is decided by the node that has the client; this one only
 * refuses what it must not send.
 */
export class RelayServer {
  readonly #options: RelayServerOptions;
  readonly #server: Server;
  #running = 0;

  constructor(options: RelayServerOptions) {
    this.#options = options;
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, requestTimeout: 0 },
      (request, response) =>
        runInBackground(options.telemetry, 'relay', () => this.#serve(request, response)),
    );
  }

  /** Takes over a connection on which another node sends requests to relay. */
  accept(socket: Socket): void {
    this.#server.emit('connection', socket);
  }

  /** Relayed requests whose responses have not been written completely. */
  get running(): number {
    return this.#running;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (response.destroyed) return;
    this.#running += 1;
    // Not before the response has been written: a planned stop waits for it.
    response.once('close', () => (this.#running -= 1));
    const backendId = String(request.headers[RELAY_HEADER.backend] ?? '');
    const outcome = await this.#relayOrFail(request, response, backendId);
    if (typeof outcome === 'string') refuse(response, outcome);
    const { metrics, telemetry } = this.#options;
    const result = typeof outcome === 'string' ? outcome : outcome.kind;
    metrics.relayed.inc({ outcome: result });
    if (result === 'complete') return;
    telemetry.event('info', 'relay.failed', backendId, {
      outcome: result,
      from: request.socket.remoteAddress,
      running: this.#running,
    });
  }

  /** As `#relay`, and a defect ends the response: it never rejects. */
  async #relayOrFail(
    request: IncomingMessage,
    response: ServerResponse,
    backendId: string,
  ): Promise<RelayOutcome | RelayFailure> {
    const progress: RelayProgress = { mayHaveRun: false };
    try {
      return await this.#relay(request, response, backendId, progress);
    } catch (cause) {
      this.#options.telemetry.event('error', 'relay.defect', backendId, errorFields(cause));
      if (response.headersSent) response.destroy();
      return progress.mayHaveRun ? 'broken' : 'no-room';
    }
  }

  async #relay(
    request: IncomingMessage,
    response: ServerResponse,
    backendId: string,
    progress: RelayProgress,
  ): Promise<RelayOutcome | RelayFailure> {
    const { fleet, hops, bodies, readTurns, isStopping } = this.#options;
    const backend = fleet.backend(backendId);
    const service = backend === undefined ? undefined : fleet.routes?.service(backend.service);
    if (backend === undefined || service === undefined || isStopping()) return 'no-room';
    if (this.#running > MAX_RUNNING) return 'no-room';
    const limitBytes = fleet.routes?.configuration.limits.maxBodyBytes ?? 0;
    const body = await readBody(request, { limitBytes, bodies, readTurns, id: `relay/${backendId}` });
    if (body.isErr()) return 'no-room';
    try {
      const hop = hops.openDirect(backend, service);
      if (hop === undefined) return 'no-room';
      const attempt = new RelayedAttempt({
        hop,
        response,
        memory: this.#options.responseMemory.open(backendId, () => response.destroy()),
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: forwardedHeaders(request.rawHeaders),
        body: body.value.bytes,
        reasonNotToWrite: () => this.#reasonNotToWrite(backendId),
        onHead: (status, headers) => this.#handleNotice(backendId, status, headers),
        onDefect: (cause) =>
          this.#options.telemetry.event('error', 'relay.defect', backendId, {
            ...errorFields(cause),
            address: backend.address,
          }),
      });
      progress.mayHaveRun = true;
      return await attempt.run();
    } finally {
      body.value.release();
    }
  }

  #reasonNotToWrite(backendId: string): RelayFailure | undefined {
    const { fleet, availability, isListTooOld } = this.#options;
    if (fleet.isLeaving(backendId)) return 'leaving';
    if (availability.isBackingOff(backendId)) return 'backing-off';
    return isListTooOld() ? 'old-list' : undefined;
  }

  #handleNotice(
    backendId: string,
    status: number,
    headers: Parameters<RequestDialect['readResponse']>[1],
  ): void {
    const { dialect, notices } = this.#options;
    notices.handleNotice(backendId, dialect.readResponse(status, headers).notice, false);
  }
}

function refuse(response: ServerResponse, failure: RelayFailure): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(STATUS_FAILURE, { [RELAY_HEADER.failure]: failure, 'content-length': '0' });
  response.end();
}

/** The request's headers as the backend gets them. */
function forwardedHeaders(rawHeaders: readonly string[]): string[] {
  const headers: string[] = [];
  const named = connectionHeaderNames(
    rawHeaders.filter((_, index) => rawHeaders[index - 1]?.toLowerCase() === 'connection').join(','),
  );
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (lower === RELAY_HEADER.backend || !isEndToEndHeader(lower, named)) continue;
    headers.push(name, rawHeaders[index + 1] ?? '');
  }
  return headers;
}
