import type { Machine, MachineList, MachineListError } from '@canvasridge/domain';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import { request as httpRequest, type Dispatcher } from 'undici';
import * as z from 'zod';

const machinesSchema = z.array(
  z.object({
    id: z.string(),
    role: z.enum(['entry', 'back-end']),
    state: z.enum(['live', 'leaving']),
    gossip: z.string().optional(),
  }),
);

const TIMEOUT_MS = 3000;

/** Client of the platform's machine list over HTTP: `GET /machines`. */
export class HttpMachineList implements MachineList {
  readonly #url: string;
  readonly #dispatcher: Dispatcher;

  constructor(url: string, dispatcher: Dispatcher) {
    this.#url = url.replace(/\/$/, '');
    this.#dispatcher = dispatcher;
  }

  list(): ResultAsync<readonly Machine[], MachineListError> {
    return new ResultAsync(this.#list());
  }

  async #list(): Promise<Result<readonly Machine[], MachineListError>> {
    try {
      const response = await httpRequest(`${this.#url}/machines`, {
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const parsed = machinesSchema.safeParse(await response.body.json());
      if (parsed.success) return ok(parsed.data);
      return err({ kind: 'unavailable', detail: parsed.error.message });
    } catch (cause) {
      return err({ kind: 'unavailable', detail: (cause as Error).message });
    }
  }
}
