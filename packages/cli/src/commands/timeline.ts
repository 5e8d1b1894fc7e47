import { writeFile } from 'node:fs/promises';
import { ExitCode, UsageError, type CommandDefinition } from '@canvasridge/settings';
import type { TimelineDump } from '@canvasridge/telemetry';
import { formatAdminError } from '../admin-client.js';
import { toChromeTrace } from '../chrome-trace.js';
import { fetchFleetStatus } from '../fleet-status.js';
import { renderTimeline } from '../timeline-page.js';
import { NODE_OPTIONS, adminClient, printError, reportAdminError, printLine } from './shared.js';

export const timelineCommand: CommandDefinition = {
  name: 'timeline',
  summary: 'Merges the events of all nodes into one HTML page or a Chrome trace (JSON).',
  options: {
    ...NODE_OPTIONS,
    html: { type: 'string', help: 'write the HTML page to this file', placeholder: 'FILE' },
    trace: { type: 'string', help: 'write a trace for chrome://tracing to this file', placeholder: 'FILE' },
    request: {
      type: 'string',
      help: 'only events of requests whose id starts with this text',
      placeholder: 'ID',
    },
  },
  run: async (input) => {
    const html = input.text('html');
    const trace = input.text('trace');
    if (html === undefined && trace === undefined)
      throw new UsageError('give --html FILE or --trace FILE, or both');
    const client = adminClient(input);
    const answers = await fetchFleetStatus(client);
    if (answers.isErr()) return reportAdminError(answers.error);
    const dumps: TimelineDump[] = [];
    const first = answers.value.find((answer) => answer.status.isOk())?.status;
    const members = first?.isOk() === true ? first.value.members : [];
    for (const member of members) {
      const dump = await client.at(member.peerUrl).get<TimelineDump>('/timeline');
      if (dump.isOk()) dumps.push(filterByRequest(dump.value, input.text('request')));
      else printError(formatAdminError(dump.error));
    }
    if (html !== undefined) await writeFile(html, renderTimeline(dumps));
    if (trace !== undefined) await writeFile(trace, JSON.stringify(toChromeTrace(dumps)));
    const events = dumps.reduce((sum, dump) => sum + dump.events.length, 0);
    printLine(`${events} events of ${dumps.length} processes`);
    return ExitCode.success;
  },
};

function filterByRequest(dump: TimelineDump, prefix: string | undefined): TimelineDump {
  if (prefix === undefined) return dump;
  return { ...dump, events: dump.events.filter((event) => event.requestId?.startsWith(prefix) === true) };
}
