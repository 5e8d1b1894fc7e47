import { parseArgs } from 'node:util';

/** Exit codes of every binary; docs/reference/command-line.md lists them. */
export const ExitCode = {
  success: 0,
  /** The command ran and its answer is "no": a promise broken, a plan refused, a node unreachable. */
  failure: 1,
  /** The command line or a file it names cannot be used. */
  usage: 2,
} as const;

/** One option of a command. */
export interface OptionDefinition {
  readonly type: 'string' | 'boolean';
  readonly help: string;
  readonly short?: string;
  readonly default?: string | boolean;
  readonly placeholder?: string;
}

/** What a command is given after its line has been checked. */
export interface CommandInput {
  readonly options: Readonly<Record<string, string | boolean | undefined>>;
  readonly positionals: readonly string[];
  text(name: string): string | undefined;
  flag(name: string): boolean;
  /** A number within bounds, or an error naming the option. */
  number(name: string, minimum: number, maximum: number): number;
}

export type CommandOutcome = Promise<number>;

/** A command of a binary, or the binary itself where it has just one. */
export interface CommandDefinition {
  readonly name: string;
  readonly summary: string;
  readonly positionals?: string;
  readonly maximumPositionals?: number;
  readonly options: Readonly<Record<string, OptionDefinition>>;
  run(input: CommandInput): CommandOutcome;
}

/** A mistake in the command line; its message names the option and the fix. */
export class UsageError extends Error {}

/**
 * Runs a binary: answers --help and --version, finds the command, checks its options.
 * Returns the exit code; prints usage errors to standard error.
 */
export async function runCommand(
  binary: string,
  version: string,
  commands: readonly CommandDefinition[],
  argv: readonly string[],
): Promise<number> {
  const single = commands.length === 1 && commands[0]?.name === '' ? commands[0] : undefined;
  const first = argv[0];
  if (first === '--version') return print(`${binary} ${version}`);
  if (
    single === undefined &&
    (first === undefined || first === '--help' || first === '-h' || first === 'help')
  ) {
    print(overview(binary, commands));
    return first === undefined ? ExitCode.usage : ExitCode.success;
  }
  const command = single ?? commands.find((candidate) => candidate.name === first);
  if (command === undefined) {
    const names = commands.map((candidate) => candidate.name).join(', ');
    return fail(`${binary}: unknown command "${first ?? ''}"; known commands: ${names}`);
  }
  const rest = single === undefined ? argv.slice(1) : argv;
  if (rest.includes('--help') || rest.includes('-h')) return print(usage(binary, command));
  try {
    return await command.run(parse(command, rest));
  } catch (cause) {
    if (!(cause instanceof UsageError)) throw cause;
    return fail(`${binary} ${command.name}: ${cause.message}\nSee "${binary} ${command.name} --help".`);
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
    'Exit codes: 0 done, 1 the answer is no or the work failed, 2 wrong usage or unusable file.',
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
    'Exit codes: 0 done, 1 the answer is no or the work failed, 2 wrong usage or unusable file.',
  ].join('\n');
}

function print(text: string): number {
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

function fail(text: string): number {
  process.stderr.write(`${text}\n`);
  return ExitCode.usage;
}
