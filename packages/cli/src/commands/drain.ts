import { ExitCode, type CommandDefinition } from '@canvasridge/settings';
import { NODE_OPTIONS, adminClient, reportAdminError, printLine } from './shared.js';

export const drainCommand: CommandDefinition = {
  name: 'drain',
  summary:
    'Makes one node hand over its engines and leave the directory. It goes on serving until it is stopped.',
  options: NODE_OPTIONS,
  run: async (input) => {
    const client = adminClient(input);
    const answer = await client.post('/drain', {});
    if (answer.isErr()) return reportAdminError(answer.error);
    printLine(
      `${client.url}: draining; stop its process with SIGTERM when "canvasridge status" shows no active requests`,
    );
    return ExitCode.success;
  },
};
