/**
 * Types shared by all packages: model names, configuration, problem documents, and interfaces to other
 * systems.
 */
export {
  parseModelName,
  formatModelName,
  adapterVersionKey,
  type AdapterRef,
  type ModelNameError,
} from './model-name.js';
export {
  configurationSchema,
  type Configuration,
  type BaseModel,
  type AdapterDefinition,
  type EngineDefinition,
  type ServiceDefinition,
  type CallerDefinition,
  type NodeDefinition,
  type Tuning,
  DEFAULT_TUNING,
} from './configuration.js';
export { ConfigurationIndex } from './configuration-index.js';
export {
  PROBLEMS,
  problem,
  type Problem,
  type ProblemCode,
  type Executed,
  type ProblemExtra,
} from './problem.js';
export type { ConfigurationInForce, NodeStatus, OwnedEngineStatus } from './node-status.js';
export { Priority, type PriorityName } from './priority.js';
export { Header } from './headers.js';
export type {
  EngineClient,
  EngineError,
  EngineOrder,
  EngineOrderReply,
  EngineReport,
  EngineRequest,
  GenerationEnd,
  LoadedAdapter,
  StreamSink,
} from './ports/engine-client.js';
export type { ServiceClient, ServiceError, ServiceRequest, ServiceReply } from './ports/service-client.js';
export type {
  ConfigurationSource,
  ConfigurationSourceError,
  SourceValue,
} from './ports/configuration-source.js';
export type { MachineList, MachineListError, Machine } from './ports/machine-list.js';
