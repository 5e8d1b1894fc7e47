import { configurationSchema, type Configuration } from '@canvasridge/domain';
import {
  ExitCode,
  UsageError,
  formatSettingsError,
  readJsonFile,
  type CommandInput,
  type OptionDefinition,
} from '@canvasridge/settings';
import { AdminClient, formatAdminError, type AdminError } from '../admin-client.js';

/** Options of every command that contacts nodes. */
export const NODE_OPTIONS = {
  node: {
    type: 'string',
    help: 'URL of any node for peers; default: the environment variable CANVASRIDGE_NODE',
    placeholder: 'URL',
  },
  'admin-key': {
    type: 'string',
    help: 'admin key; default: the environment variable CANVASRIDGE_ADMIN_KEY',
    placeholder: 'KEY',
  },
} as const satisfies Record<string, OptionDefinition>;

/** Client for the node and key given in the options or environment variables. */
export function adminClient(input: CommandInput): AdminClient {
  const url = input.text('node') ?? process.env.CANVASRIDGE_NODE;
  const key = input.text('admin-key') ?? process.env.CANVASRIDGE_ADMIN_KEY;
  if (url === undefined || !URL.canParse(url)) {
    throw new UsageError(`--node: found "${url ?? 'nothing'}", expected a URL such as http://10.0.0.1:8081`);
  }
  if (key === undefined)
    throw new UsageError('--admin-key: found nothing, expected the adminKey of the node settings');
  return new AdminClient(url, key);
}

/** The file argument of a command. */
export function fileArgument(input: CommandInput): string {
  const [file] = input.positionals;
  if (file === undefined) throw new UsageError('FILE is missing: give the path of a configuration document');
  return file;
}

/** Reads a configuration document. Prints the errors and returns undefined if it is not valid. */
export async function readConfigurationFile(file: string): Promise<Configuration | undefined> {
  const document = await readJsonFile(file, configurationSchema);
  if (document.isOk()) return document.value;
  printError(formatSettingsError(document.error));
  return undefined;
}

export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

export function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}

export function reportAdminError(error: AdminError): number {
  printError(formatAdminError(error));
  return ExitCode.failure;
}
