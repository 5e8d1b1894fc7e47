import type { StreamSink } from '@canvasridge/domain';
import type { CallerTransport, Endpoints, RawResponse, RawFailure, RawRequest } from '../callers/caller.js';
import type { SimulatedFleet } from './fleet.js';
import type { Host } from './network.js';
import { runRequest } from './peer-ports.js';

const ENDPOINTS_TIMEOUT_MS = 1000;
const RESPONSE_TIMEOUT_MS = 40_000;

/** Transport of a caller over the simulated network. */
export class SimulatedCallerTransport implements CallerTransport {
  readonly #fleet: SimulatedFleet;
  readonly #host: Host;
  readonly #key: string;
  readonly #zone: string;

  constructor(fleet: SimulatedFleet, host: Host, key: string, zone: string) {
    this.#fleet = fleet;
    this.#host = host;
    this.#key = key;
    this.#zone = zone;
  }

  now(): number {
    return this.#host.clock.now();
  }

  sleep(milliseconds: number): Promise<void> {
    return this.#host.clock.sleep(milliseconds);
  }

  bootstrapUrls(): readonly string[] {
    return this.#fleet.callerUrls();
  }

  endpoints(url: string, model: string): Promise<Endpoints | undefined> {
    const target = this.#fleet.processAtCallerUrl(url);
    if (target === undefined) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const connection = this.#fleet.network.connect(this.#host, target.host);
      if (connection === undefined) return resolve(undefined);
      const finish = (answer: Endpoints | undefined): void => {
        timer.cancel();
        connection.close();
        resolve(answer);
      };
      const timer = this.#host.clock.setTimer(ENDPOINTS_TIMEOUT_MS, () => finish(undefined));
      connection.onClientBreak = () => finish(undefined);
      connection.toServer(() => {
        const query = { zone: this.#zone, ...(model === '' ? {} : { model }) };
        const answer = target.node.directory.endpoints(`Bearer ${this.#key}`, query);
        connection.toClient(() => finish(answer.match(toEndpoints, () => undefined)));
      });
    });
  }

  async send(call: RawRequest, onFirstByte: () => void): Promise<RawResponse | RawFailure> {
    const target = this.#fleet.processAtCallerUrl(call.url);
    if (target === undefined) return { kind: 'not-sent' };
    const collected = new CollectingSink(onFirstByte);
    const headers = { ...call.headers, authorization: `Bearer ${this.#key}` };
    const inbound = { method: 'POST', path: call.path, headers, body: Buffer.from(call.body) };
    const timeout = new AbortController();
    const timer = this.#host.clock.setTimer(RESPONSE_TIMEOUT_MS, () => timeout.abort());
    const outcome = await runRequest(
      this.#fleet.network,
      this.#host,
      target,
      (sink, disconnected) => {
        if (target.node.state === 'closed') return Promise.resolve(STOPPING_REFUSAL);
        return call.path.startsWith('/services/')
          ? target.node.requests.callService(inbound, sink, disconnected)
          : target.node.requests.generate(inbound, sink, disconnected);
      },
      collected,
      timeout.signal,
    );
    timer.cancel();
    if ('failed' in outcome) return { kind: outcome.sent ? 'broken' : 'not-sent' };
    return collected.toResponse(outcome.end);
  }
}

type RequestEnd = Extract<Awaited<ReturnType<typeof runRequest>>, { end: unknown }>['end'];

/** Response of a node that is closed. */
const STOPPING_REFUSAL: RequestEnd = {
  kind: 'refused',
  problem: { type: '', title: '', status: 503, code: 'stopping', executed: 'no', retryAfterSeconds: 1 },
};

function toEndpoints(answer: {
  readonly ttlSeconds: number;
  readonly endpoints: readonly { readonly url: string }[];
  readonly home: string;
}): Endpoints {
  return {
    urls: answer.endpoints.map((endpoint) => endpoint.url),
    home: answer.home,
    ttlMs: answer.ttlSeconds * 1000,
  };
}

/** Collects a response as the text that an HTTP client would receive. */
class CollectingSink implements StreamSink {
  readonly #onFirstByte: () => void;
  #status = 0;
  #headers: Readonly<Record<string, string>> = {};
  #text = '';

  constructor(onFirstByte: () => void) {
    this.#onFirstByte = onFirstByte;
  }

  start(status: number, headers: Readonly<Record<string, string>>): void {
    this.#status = status;
    this.#headers = headers;
  }

  write(chunk: Uint8Array): boolean {
    if (this.#text === '') this.#onFirstByte();
    this.#text += Buffer.from(chunk).toString('utf8');
    return true;
  }

  waitForDrain(): Promise<void> {
    return Promise.resolve();
  }

  toResponse(end: RequestEnd): RawResponse | RawFailure {
    const headers = this.#headers;
    switch (end.kind) {
      case 'completed':
        return { status: this.#status, headers, text: this.#text };
      case 'refused':
        return { status: end.problem.status, headers, text: JSON.stringify(end.problem) };
      case 'broken-off':
        if (headers['content-type']?.startsWith('text/event-stream') !== true) return { kind: 'broken' };
        return {
          status: this.#status,
          headers,
          text: `${this.#text}event: error\ndata: ${JSON.stringify(end.problem)}\n\n`,
        };
    }
  }
}
