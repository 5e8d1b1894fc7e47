import { isJSONRPCRequest, JSONRPCErrorException, JSONRPCServer, type JSONRPCResponse } from 'json-rpc-2.0';
import type { z } from 'zod';

/** Methods that peers may call, by JSON-RPC 2.0. Parameters are checked before a handler sees them. */
export class PeerRpcServer {
  // The library's listener would print to the console; errors travel back to the caller instead.
  readonly #server = new JSONRPCServer({ errorListener: () => undefined });

  register<Params, Answer>(
    method: string,
    schema: z.ZodType<Params>,
    handler: (params: Params) => Promise<Answer> | Answer,
  ): void {
    this.#server.addMethod(method, async (params: unknown) => {
      const checked = schema.safeParse(params);
      if (!checked.success) throw new JSONRPCErrorException(`${method}: ${checked.error.message}`, -32602);
      return handler(checked.data);
    });
  }

  /** Runs one request; undefined when `payload` is none. */
  async receive(payload: unknown): Promise<JSONRPCResponse | undefined> {
    if (!isJSONRPCRequest(payload)) return undefined;
    return (await this.#server.receive(payload)) ?? undefined;
  }
}
