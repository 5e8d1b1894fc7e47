import { Agent, request } from 'undici';
import {
  CALLER_DEADLINE_MS,
  type CallerTransport,
  type Endpoints,
  type RawResponse,
  type RawFailure,
  type RawRequest,
} from './caller.js';

const CONNECT_TIMEOUT_MS = 1000;
const CONNECTIONS = 512;
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Transport of a caller over HTTP. */
export class HttpCallerTransport implements CallerTransport {
  readonly #key: string;
  readonly #zone: string;
  readonly #bootstrapUrls: () => readonly string[];
  readonly #agent = new Agent({ connections: CONNECTIONS, connect: { timeout: CONNECT_TIMEOUT_MS } });

  /** @param bootstrapUrls returns the URLs of nodes to ask for the directory */
  constructor(key: string, zone: string, bootstrapUrls: () => readonly string[]) {
    this.#key = key;
    this.#zone = zone;
    this.#bootstrapUrls = bootstrapUrls;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  now(): number {
    return performance.now();
  }

  sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }

  bootstrapUrls(): readonly string[] {
    return this.#bootstrapUrls();
  }

  async endpoints(url: string, model: string): Promise<Endpoints | undefined> {
    const query = model === '' ? '' : `&model=${encodeURIComponent(model)}`;
    try {
      const response = await request(`${url}/v1/endpoints?zone=${this.#zone}${query}`, {
        headers: { authorization: `Bearer ${this.#key}` },
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS),
      });
      const body = (await response.body.json()) as {
        endpoints?: { url: string }[];
        home?: string;
        ttlSeconds?: number;
      };
      if (response.statusCode !== 200 || body.endpoints === undefined) return undefined;
      const urls = body.endpoints.map((endpoint) => endpoint.url);
      return { urls, home: body.home ?? '', ttlMs: (body.ttlSeconds ?? 1) * 1000 };
    } catch {
      return undefined;
    }
  }

  async send(call: RawRequest, onFirstByte: () => void): Promise<RawResponse | RawFailure> {
    try {
      const response = await request(`${call.url}${call.path}`, {
        method: 'POST',
        headers: { ...call.headers, authorization: `Bearer ${this.#key}` },
        body: call.body,
        dispatcher: this.#agent,
        headersTimeout: CALLER_DEADLINE_MS * 2,
        bodyTimeout: CALLER_DEADLINE_MS * 2,
      });
      let text = '';
      for await (const chunk of response.body) {
        if (text === '') onFirstByte();
        text += String(chunk);
      }
      return {
        status: response.statusCode,
        headers: response.headers as Record<string, string | undefined>,
        text,
      };
    } catch (cause) {
      const code = (cause as NodeJS.ErrnoException).code ?? '';
      return { kind: NOT_SENT_CODES.has(code) ? 'not-sent' : 'broken' };
    }
  }
}
