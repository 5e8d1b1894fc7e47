import { ExitCode, type CommandDefinition } from '@canvasridge/settings';
import { formatAdminError } from '../admin-client.js';
import { fetchFleetStatus, type NodeStatusResult } from '../fleet-status.js';
import type { NodeStatus } from '@canvasridge/domain';
import { NODE_OPTIONS, adminClient, printError, reportAdminError, printLine } from './shared.js';

export const statusCommand: CommandDefinition = {
  name: 'status',
  summary: 'Shows nodes, engines, adapters, queues and the revision in force on each node.',
  options: { ...NODE_OPTIONS, json: { type: 'boolean', help: 'print one JSON document' } },
  run: async (input) => {
    const client = adminClient(input);
    const answers = await fetchFleetStatus(client);
    if (answers.isErr()) return reportAdminError(answers.error);
    if (input.flag('json')) printLine(JSON.stringify(answers.value.map(toDocument)));
    else printTables(answers.value);
    return answers.value.every((answer) => answer.status.isOk()) ? ExitCode.success : ExitCode.failure;
  },
};

function toDocument(answer: NodeStatusResult): unknown {
  return answer.status.match(
    (status) => status,
    (error) => ({ node: answer.id, error }),
  );
}

function printTables(answers: readonly NodeStatusResult[]): void {
  const reached = answers.flatMap((answer) => (answer.status.isOk() ? [answer.status.value] : []));
  printLine('NODE              ZONE          STATE      REVISION  ACTIVE  COMPLETED  ENGINES');
  for (const status of reached) printLine(nodeRow(status));
  for (const answer of answers) if (answer.status.isErr()) printError(formatAdminError(answer.status.error));
  const held = reached.find((status) => status.held !== null)?.held;
  if (held != null) printError(`revision ${held.revision} is published but held back: ${held.reason}`);
  printLine('');
  printLine('ENGINE            OWNER             RUNNING   QUEUED  SLOTS  ADAPTERS');
  for (const status of reached)
    for (const engine of status.engines) printLine(engineRow(status.node, engine));
}

function nodeRow(status: NodeStatus): string {
  const columns = [
    status.node.padEnd(17),
    status.zone.padEnd(13),
    status.state.padEnd(10),
    String(status.revision).padStart(8),
    String(status.activeRequests).padStart(7),
    String(status.completedRequests).padStart(10),
    String(status.engines.length).padStart(8),
  ];
  return columns.join(' ');
}

const MAX_ADAPTERS_SHOWN = 3;

function engineRow(owner: string, engine: NodeStatus['engines'][number]): string {
  const busiest = [...engine.adapters].sort((a, b) => b.running - a.running).slice(0, MAX_ADAPTERS_SHOWN);
  const names = busiest.map((adapter) => `${adapter.key}(${adapter.running})`).join(' ');
  const more =
    engine.adapters.length > MAX_ADAPTERS_SHOWN ? ` +${engine.adapters.length - MAX_ADAPTERS_SHOWN}` : '';
  const columns = [
    engine.engineId.padEnd(17),
    owner.padEnd(17),
    `${engine.running}/${engine.maxBatch}`.padStart(7),
    String(engine.queued).padStart(8),
    `${engine.adapters.length}/${engine.slots}`.padStart(6),
    ` ${names}${more}`,
  ];
  return columns.join(' ');
}
