/**
 * HTTP implementations of the ports to engines, services and the platform. Each can be replaced
 * independently.
 */
export { HttpEngineClient } from './http-engine-client.js';
export { HttpServiceClient } from './http-service-client.js';
export { HttpConfigurationSource } from './http-configuration-source.js';
export { HttpMachineList } from './http-machine-list.js';
export {
  HttpForwardClient,
  type ForwardClient,
  type ForwardedRequest,
  type ForwardError,
} from './http-forward-client.js';
export { ChunkBuffer } from './chunk-buffer.js';
export { EventStreamTracker } from './event-stream-tracker.js';
export { streamExchange, type ExchangeEnd, type ExchangeFailure } from './stream-exchange.js';
export { newHttpAgent } from './http-agent.js';
