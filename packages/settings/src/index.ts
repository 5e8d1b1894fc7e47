/** Validation of settings files by schema, and command-line parsing for all executables. */
export {
  readJsonFile,
  parseDocument,
  describeIssues,
  formatIssue,
  type DocumentIssue,
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
export {
  DEFAULT_START_TIMEOUT_SECONDS,
  listenAddress,
  remoteAddress,
  type ListenAddress,
} from './addresses.js';
export { SettingsFile, type SettingsFileOptions } from './settings-file.js';
export { settingsCommand, stopSignal, type SettingsCommand } from './settings-command.js';
