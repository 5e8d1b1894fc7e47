/** The entry node, for its executable and for experiments that run it on a simulated network. */
export { EntryNode, type NodeOptions, type NodePorts, type NodeState } from './node.js';
export { startNodeProcess, type NodeProcess } from './process.js';
export { nodeSettingsSchema, type NodeSettings } from './settings.js';
export { type InboundRequest, type RequestEnd } from './requests/inbound.js';
export { EngineScheduler } from './scheduling/engine-scheduler.js';
export type { EngineWork, SchedulerError } from './scheduling/engine-work.js';
export { TicketQueue } from './scheduling/ticket-queue.js';
export { EngineFleet } from './control/engine-fleet.js';
