import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';

/** Why a call to the admin API failed. */
export type AdminError =
  | { readonly kind: 'unreachable'; readonly url: string; readonly reason: string }
  | { readonly kind: 'refused'; readonly url: string; readonly status: number; readonly detail: string };

const TIMEOUT_MS = 5000;

/** Calls the admin API of one node. */
export class AdminClient {
  readonly url: string;
  readonly #key: string;

  /** @param url the node's URL for peers, such as `http://10.0.0.1:8081` */
  constructor(url: string, key: string) {
    this.url = url.replace(/\/$/, '');
    this.#key = key;
  }

  /** Returns a client for another node, with the same key. */
  at(url: string): AdminClient {
    return new AdminClient(url, this.#key);
  }

  /** Requests `path` below `/admin`. The response is not checked against `T`. */
  get<T>(path: string): Promise<Result<T, AdminError>> {
    return this.#call<T>('GET', path, undefined);
  }

  /** Posts `body` as JSON to `path` below `/admin`. The response is not checked against `T`. */
  post<T>(path: string, body: unknown): Promise<Result<T, AdminError>> {
    return this.#call<T>('POST', path, JSON.stringify(body));
  }

  async #call<T>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<Result<T, AdminError>> {
    const url = `${this.url}/admin${path}`;
    try {
      const response = await request(url, {
        method,
        headers: { authorization: `Bearer ${this.#key}`, 'content-type': 'application/json' },
        body: body ?? null,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const answer: unknown = await response.body.json();
      if (response.statusCode === 200) return ok(answer as T);
      const { title, detail } = answer as { title?: string; detail?: string };
      return err({ kind: 'refused', url, status: response.statusCode, detail: detail ?? title ?? '' });
    } catch (cause) {
      return err({ kind: 'unreachable', url, reason: (cause as Error).message });
    }
  }
}

export function formatAdminError(error: AdminError): string {
  return error.kind === 'unreachable'
    ? `${error.url}: cannot be reached (${error.reason}); check --node and that the node runs`
    : `${error.url}: refused with status ${error.status}: ${error.detail}`;
}
