import type { Clock } from '@canvasridge/clock';
import { createJSONRPCRequest, isJSONRPCResponse, type JSONRPCResponse } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import type { z } from 'zod';

/** Why a call to a peer returned no valid answer. */
export type PeerCallError =
  | { readonly kind: 'unreachable'; readonly peerUrl: string; readonly detail: string }
  /** The peer answered with a JSON-RPC error, whose code is `code`. */
  | { readonly kind: 'refused'; readonly peerUrl: string; readonly code: number; readonly detail: string }
  | { readonly kind: 'malformed-answer'; readonly peerUrl: string; readonly detail: string };

/** Calls JSON-RPC methods of peers. */
export interface PeerCaller {
  call<T>(
    peerUrl: string,
    method: string,
    params: unknown,
    answer: z.ZodType<T>,
    timeoutMs: number,
  ): Promise<Result<T, PeerCallError>>;
}

/**
 * Validates a JSON-RPC response against the schema of the answer. Shared by all {@link PeerCaller}
 * implementations.
 */
export function parseRpcResponse<T>(
  peerUrl: string,
  response: JSONRPCResponse,
  schema: z.ZodType<T>,
): Result<T, PeerCallError> {
  if (response.error !== undefined) {
    return err({ kind: 'refused', peerUrl, code: response.error.code, detail: response.error.message });
  }
  const checked = schema.safeParse(response.result);
  if (checked.success) return ok(checked.data);
  return err({ kind: 'malformed-answer', peerUrl, detail: checked.error.message });
}

/** Calls peers by JSON-RPC over HTTP POST, on persistent connections. */
export class HttpPeerCaller implements PeerCaller {
  readonly #agent = new Agent({ connections: 64, keepAliveTimeout: 20_000 });
  readonly #clock: Clock;
  readonly #peerKey: string;
  #nextId = 0;

  constructor(clock: Clock, peerKey: string) {
    this.#clock = clock;
    this.#peerKey = peerKey;
  }

  async call<T>(
    peerUrl: string,
    method: string,
    params: unknown,
    answer: z.ZodType<T>,
    timeoutMs: number,
  ): Promise<Result<T, PeerCallError>> {
    this.#nextId += 1;
    const body = JSON.stringify(createJSONRPCRequest(this.#nextId, method, params));
    const abort = new AbortController();
    const timer = this.#clock.setTimer(timeoutMs, () => abort.abort());
    try {
      const response = await request(`${peerUrl}/rpc`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'canvasridge-peer-key': this.#peerKey },
        body,
        dispatcher: this.#agent,
        signal: abort.signal,
      });
      const payload: unknown = await response.body.json();
      if (!isJSONRPCResponse(payload)) {
        return err({ kind: 'malformed-answer', peerUrl, detail: `status ${response.statusCode}` });
      }
      return parseRpcResponse(peerUrl, payload, answer);
    } catch (cause) {
      return err({ kind: 'unreachable', peerUrl, detail: (cause as Error).message });
    } finally {
      timer.cancel();
    }
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }
}
