import { checkIntent } from '@canvasridge/configuration';
import { ExitCode, type CommandDefinition } from '@canvasridge/settings';
import { printError, fileArgument, readConfigurationFile, printLine } from './shared.js';

export const validateCommand: CommandDefinition = {
  name: 'validate',
  summary:
    'Checks a configuration document: schema, references, requirements that no engine can fulfil. Contacts no node.',
  positionals: 'FILE',
  maximumPositionals: 1,
  options: {},
  run: async (input) => {
    const file = fileArgument(input);
    const intent = await readConfigurationFile(file);
    if (intent === undefined) return ExitCode.usage;
    const problems = checkIntent(intent);
    for (const { path, problem } of problems) printError(`${file}: ${path}: ${problem}`);
    if (problems.length > 0) return ExitCode.failure;
    printLine(`${file}: valid: ${intent.adapters.length} adapters, ${intent.engines.length} engines`);
    return ExitCode.success;
  },
};
