import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { formatSocketAddress, listen } from '@canvasridge/addresses';
import { getRequestListener } from '@hono/node-server';
import { SystemClock } from '@canvasridge/clock';
import type { ListenAddress } from '@canvasridge/settings';
import { engineListener } from './engine/engine-http.js';
import { platformApplication } from './platform/platform-http.js';
import { serviceListener } from './service/service-http.js';
import type { StandinSettings } from './settings.js';
import { Standin } from './standin.js';

/** A running emulator, with the URLs of its HTTP interfaces. */
export interface StandinProcess {
  readonly standin: Standin;
  readonly platformUrl: string;
  readonly engineUrls: Readonly<Record<string, string>>;
  readonly serviceUrls: readonly { readonly name: string; readonly url: string }[];
  readonly stop: () => Promise<void>;
}

type Listener = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts the emulator with all its HTTP interfaces in this process. Rejects if an address is in use. */
export async function startStandinProcess(settings: StandinSettings): Promise<StandinProcess> {
  const standin = new Standin(settings, new SystemClock());
  const servers: Server[] = [];
  const startServer = async (listener: Listener, address: ListenAddress): Promise<string> => {
    const server = createServer({ keepAliveTimeout: 30_000 }, listener);
    servers.push(server);
    return listenOrThrow(server, address);
  };
  const engineUrls: Record<string, string> = {};
  for (const definition of settings.engines) {
    const engine = standin.engines.get(definition.id);
    if (engine !== undefined)
      engineUrls[definition.id] = await startServer(engineListener(engine), definition.listen);
  }
  const serviceUrls: { name: string; url: string }[] = [];
  for (const [index, definition] of settings.services.entries()) {
    const service = standin.services[index];
    if (service === undefined) continue;
    serviceUrls.push({
      name: definition.name,
      url: await startServer(serviceListener(service), definition.listen),
    });
  }
  const applicationListener = getRequestListener(platformApplication(standin).fetch);
  const platformUrl = await startServer(
    (request, response) => void applicationListener(request, response),
    settings.listen,
  );
  const stop = async (): Promise<void> => {
    for (const server of servers) {
      server.closeAllConnections();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    }
  };
  return { standin, platformUrl, engineUrls, serviceUrls, stop };
}

/** @throws Error if the address can't be bound */
async function listenOrThrow(server: Server, address: ListenAddress): Promise<string> {
  const bound = await listen(server, address, (cause) => process.emitWarning(cause));
  if (bound.isErr()) throw new Error(bound.error.reason);
  return `http://${formatSocketAddress(bound.value)}`;
}
