/**
 * Stand-in for the platform: emulators of its engines, services and stores. Runs as a process of its own, or
 * inside simulations in virtual time.
 */
export { Standin, type StandinRecords } from './standin.js';
export { startStandinProcess, type StandinProcess } from './process.js';
export { standinSettingsSchema, type StandinSettings } from './settings.js';
export { EngineEmulator, type SubmittedRequest, type SubmitRefusal } from './engine/engine-emulator.js';
export {
  DEFAULT_ENGINE_BEHAVIOUR,
  type EngineBehaviour,
  type EngineIdentity,
} from './engine/engine-settings.js';
export { tokenText, promptHash } from './engine/prompt.js';
export type { Sequence, SequenceListener } from './engine/sequence.js';
export { WeightStoreEmulator } from './platform/weight-store-emulator.js';
export { ConfigurationServiceEmulator } from './platform/configuration-service-emulator.js';
export { MachineListEmulator } from './platform/machine-list-emulator.js';
export { faultSchema, type FaultChange } from './platform/platform-http.js';
export { ServiceEmulator } from './service/service-emulator.js';
