import type { Telemetry } from '@canvasridge/telemetry';
import { JSONRPCErrorCode, JSONRPCErrorException } from 'json-rpc-2.0';
import type * as z from 'zod';
import type { PeerConnection, PeerMethods } from './peer-connection.js';
import { UnreadLog } from './unread-log.js';

type PeerMethod = PeerMethods[string];

/** Checks the params of peers' calls before the methods that they are for see them. */
export class PeerParams {
  readonly #log: UnreadLog;

  constructor(telemetry: Telemetry) {
    this.#log = new UnreadLog(telemetry);
  }

  /**
   * A method that is called with valid params only. Others are logged and answered with the error `InvalidParams`, which
   * callers take for no answer.
   */
  checked<T>(
    name: string,
    schema: z.ZodType<T>,
    handle: (params: T, peer: PeerConnection) => unknown,
  ): PeerMethod {
    return (params, peer) => {
      const read = this.#log.read(schema, 'peer.params-unread', name, params);
      if (read === undefined)
        throw new JSONRPCErrorException('invalid params', JSONRPCErrorCode.InvalidParams);
      return handle(read, peer);
    };
  }
}
