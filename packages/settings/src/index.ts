/** Validation of settings files by schema, and command-line parsing for all executables. */
export {
  readJsonFile,
  parseDocument,
  describeIssues,
  type SettingsError,
  formatSettingsError,
} from './document.js';
export {
  runCommand,
  ExitCode,
  UsageError,
  type CommandInput,
  type CommandDefinition,
  type ExitCodePromise,
  type OptionDefinition,
} from './command-line.js';
export { listenAddress, type ListenAddress, parseHostPort, type HostPort } from './addresses.js';
export { settingsCommand, stopSignal, type SettingsCommand } from './settings-command.js';
