import type { ConfigurationSource, ConfigurationSourceError, SourceValue } from '@canvasridge/domain';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import { request as httpRequest, type Dispatcher } from 'undici';
import * as z from 'zod';

const valueSchema = z.object({ value: z.string(), version: z.number() });

const GET_TIMEOUT_MS = 3000;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;

/**
 * Client of the configuration service over HTTP: `GET /values/KEY`; `after` and `wait` make it a long poll.
 */
export class HttpConfigurationSource implements ConfigurationSource {
  readonly #url: string;
  readonly #dispatcher: Dispatcher;

  constructor(url: string, dispatcher: Dispatcher) {
    this.#url = url.replace(/\/$/, '');
    this.#dispatcher = dispatcher;
  }

  get(key: string): ResultAsync<SourceValue, ConfigurationSourceError> {
    return new ResultAsync(this.#read(key, '', GET_TIMEOUT_MS));
  }

  watch(
    key: string,
    afterVersion: number,
    waitMs: number,
  ): ResultAsync<SourceValue, ConfigurationSourceError> {
    return new ResultAsync(this.#read(key, `?after=${afterVersion}&wait=${waitMs}`, waitMs + GET_TIMEOUT_MS));
  }

  async #read(
    key: string,
    query: string,
    timeoutMs: number,
  ): Promise<Result<SourceValue, ConfigurationSourceError>> {
    try {
      const response = await httpRequest(`${this.#url}/values/${encodeURIComponent(key)}${query}`, {
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const payload: unknown = await response.body.json();
      if (response.statusCode === STATUS_NOT_FOUND) return err({ kind: 'missing', key });
      if (response.statusCode === STATUS_TOO_MANY_REQUESTS) return err({ kind: 'rate-limited' });
      const parsed = valueSchema.safeParse(payload);
      if (parsed.success) return ok(parsed.data);
      return err({ kind: 'unavailable', detail: `status ${response.statusCode}` });
    } catch (cause) {
      return err({ kind: 'unavailable', detail: (cause as Error).message });
    }
  }
}
