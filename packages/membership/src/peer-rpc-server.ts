import { isJSONRPCRequest, JSONRPCErrorException, JSONRPCServer, type JSONRPCResponse } from 'json-rpc-2.0';
import type { z } from 'zod';

/**
 * Serves the methods that peers may call by JSON-RPC 2.0. Parameters are validated before the handler runs.
 */
export class PeerRpcServer {
  // The library's default listener prints errors to the console; here they are only returned to the caller.
  readonly #server = new JSONRPCServer({ errorListener: () => undefined });

  register<Params, Answer>(
    method: string,
    schema: z.ZodType<Params>,
    handler: (params: Params) => Promise<Answer> | Answer,
  ): void {
    this.#server.addMethod(method, async (params: unknown) => {
      const checked = schema.safeParse(params);
      // -32602 is the code for invalid parameters in JSON-RPC 2.0.
      if (!checked.success) throw new JSONRPCErrorException(`${method}: ${checked.error.message}`, -32602);
      return handler(checked.data);
    });
  }

  /** Handles one request; undefined if `payload` is not a JSON-RPC request or needs no response. */
  async receive(payload: unknown): Promise<JSONRPCResponse | undefined> {
    if (!isJSONRPCRequest(payload)) return undefined;
    return (await this.#server.receive(payload)) ?? undefined;
  }
}
