import { parseArgs } from 'node:util';

/** Exit codes of all executables; docs/reference/command-line.md lists them. */
export const ExitCode = {
  success: 0,
  /**
   * The command ran, but its result is negative: a check failed, a plan was refused, a node is unreachable.
   */
  failure: 1,
  /** The command line, or a file named in it, is not valid. */
  usage: 2,
} as const;

/** One option of a command. */
export interface OptionDefinition {
  readonly type: 'string' | 'boolean';
  readonly help: string;
  readonly short?: string;
  readonly default?: string | boolean;
  /** Name of the value in the help text; `VALUE` by default. */
  readonly placeholder?: string;
}

/** Parsed and checked arguments of a command. */
export interface CommandInput {
  readonly options: Readonly<Record<string, string | boolean | undefined>>;
  readonly positionals: readonly string[];
  /** Value of a string option, or its default. */
  text(name: string): string | undefined;
  flag(name: string): boolean;
  /** Value of a numeric option; throws a `UsageError` if it is not a number within the bounds. */
  number(name: string, minimum: number, maximum: number): number;
}

/** Resolves with the exit code. */
export type ExitCodePromise = Promise<number>;

/** A command of an executable, or the executable itself if it has no commands; the name is then empty. */
export interface CommandDefinition {
  readonly name: string;
  readonly summary: string;
  /** Names of the positional arguments in the help text. */
  readonly positionals?: string;
  /** Number of positional arguments that are accepted; 0 by default. */
  readonly maximumPositionals?: number;
  readonly options: Readonly<Record<string, OptionDefinition>>;
  run(input: CommandInput): ExitCodePromise;
}

/** An error in the command line; its message names the option and what it accepts. */
export class UsageError extends Error {}

/**
 * Runs an executable: handles --help and --version, finds the command and parses its options.
 * Returns the exit code; prints usage errors to standard error.
 */
export async function runCommand(
  binary: string,
  version: string,
  commands: readonly CommandDefinition[],
  argv: readonly string[],
): Promise<number> {
  const singleCommand = commands.length === 1 && commands[0]?.name === '' ? commands[0] : undefined;
  const commandName = argv[0];
  if (commandName === '--version') return print(`${binary} ${version}`);
  if (
    singleCommand === undefined &&
    (commandName === undefined || commandName === '--help' || commandName === '-h' || commandName === 'help')
  ) {
    print(overview(binary, commands));
    return commandName === undefined ? ExitCode.usage : ExitCode.success;
  }
  const command = singleCommand ?? commands.find((candidate) => candidate.name === commandName);
  if (command === undefined) {
    const names = commands.map((candidate) => candidate.name).join(', ');
    return printUsageError(`${binary}: unknown command "${commandName ?? ''}"; known commands: ${names}`);
  }
  const rest = singleCommand === undefined ? argv.slice(1) : argv;
  if (rest.includes('--help') || rest.includes('-h')) return print(usage(binary, command));
  try {
    return await command.run(parse(command, rest));
  } catch (cause) {
    if (!(cause instanceof UsageError)) throw cause;
    return printUsageError(
      `${binary} ${command.name}: ${cause.message}\nSee "${binary} ${command.name} --help".`,
    );
  }
}

function parse(command: CommandDefinition, argv: readonly string[]): CommandInput {
  const parsed = parseOrThrow(command, argv);
  const limit = command.maximumPositionals ?? 0;
  if (parsed.positionals.length > limit) {
    throw new UsageError(`takes at most ${limit} argument(s), found ${parsed.positionals.length}`);
  }
  const options = parsed.values;
  const text = (name: string): string | undefined => {
    const value = options[name] ?? command.options[name]?.default;
    return typeof value === 'string' ? value : undefined;
  };
  return {
    options,
    positionals: parsed.positionals,
    text,
    flag: (name) => options[name] === true,
    number: (name, minimum, maximum) => {
      const value = Number(text(name));
      if (Number.isFinite(value) && value >= minimum && value <= maximum) return value;
      throw new UsageError(
        `--${name}: found "${text(name) ?? ''}", expected a number from ${minimum} to ${maximum}`,
      );
    },
  };
}

function parseOrThrow(
  command: CommandDefinition,
  argv: readonly string[],
): { values: Record<string, string | boolean | undefined>; positionals: string[] } {
  const options: Record<string, { type: 'string' | 'boolean'; short?: string }> = {};
  for (const [name, option] of Object.entries(command.options)) {
    options[name] =
      option.short === undefined ? { type: option.type } : { type: option.type, short: option.short };
  }
  try {
    const parsed = parseArgs({ args: [...argv], options, allowPositionals: true, strict: true });
    return {
      values: parsed.values,
      positionals: parsed.positionals,
    };
  } catch (cause) {
    throw new UsageError((cause as Error).message);
  }
}

function overview(binary: string, commands: readonly CommandDefinition[]): string {
  const width = Math.max(...commands.map((command) => command.name.length));
  const rows = commands.map((command) => `  ${command.name.padEnd(width)}  ${command.summary}`);
  return [
    `Usage: ${binary} COMMAND [options]`,
    '',
    ...rows,
    '',
    `"${binary} COMMAND --help" explains a command; --version prints the version.`,
    'Exit codes: 0 success, 1 negative result or failure, 2 wrong usage or unusable file.',
  ].join('\n');
}

function usage(binary: string, command: CommandDefinition): string {
  const head = [`Usage: ${binary}`, command.name, '[options]', command.positionals ?? ''];
  const rows = Object.entries(command.options).map(([name, option]) => {
    const short = option.short === undefined ? '' : `-${option.short}, `;
    const value = option.type === 'string' ? ` ${option.placeholder ?? 'VALUE'}` : '';
    const fallback = option.default === undefined ? '' : ` (default: ${String(option.default)})`;
    return `  ${short}--${name}${value}\n      ${option.help}${fallback}`;
  });
  return [
    head.filter((part) => part !== '').join(' '),
    '',
    command.summary,
    '',
    'Options:',
    ...rows,
    '  --help\n      print this text',
    '',
    'Exit codes: 0 success, 1 negative result or failure, 2 wrong usage or unusable file.',
  ].join('\n');
}

function print(text: string): number {
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

function printUsageError(text: string): number {
  process.stderr.write(`${text}\n`);
  return ExitCode.usage;
}
