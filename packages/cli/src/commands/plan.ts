import { formatPlan, planChange, type FleetView, type Plan } from '@canvasridge/configuration';
import { configurationSchema, type Configuration, type ConfigurationInForce } from '@canvasridge/domain';
import { ExitCode, type CommandDefinition } from '@canvasridge/settings';
import { err, ok, type Result } from 'neverthrow';
import type { AdminClient, AdminError } from '../admin-client.js';
import { fetchFleetStatus } from '../fleet-status.js';
import {
  NODE_OPTIONS,
  adminClient,
  printError,
  reportAdminError,
  fileArgument,
  readConfigurationFile,
  printLine,
} from './shared.js';

export const planCommand: CommandDefinition = {
  name: 'plan',
  summary:
    'Shows what a configuration document would load, move and drop, and for which callers. Changes nothing.',
  positionals: 'FILE',
  maximumPositionals: 1,
  options: { ...NODE_OPTIONS, json: { type: 'boolean', help: 'print the whole plan as JSON' } },
  run: async (input) => {
    const intent = await readConfigurationFile(fileArgument(input));
    if (intent === undefined) return ExitCode.usage;
    const planned = await planAgainstFleet(adminClient(input), intent);
    if (planned.isErr()) return reportAdminError(planned.error);
    const { plan, disagreeing } = planned.value;
    printLine(input.flag('json') ? JSON.stringify(plan) : formatPlan(plan));
    for (const node of disagreeing)
      printError(`${node} has another revision in force; plan again when it has caught up`);
    return plan.problems.length === 0 && disagreeing.length === 0 ? ExitCode.success : ExitCode.failure;
  },
};

/** A plan, computed from the configuration of one node and the status of all nodes that could be reached. */
export interface PlannedChange {
  readonly plan: Plan;
  /** The configuration that the plan starts from. */
  readonly inForce: ConfigurationInForce;
  /** Nodes that apply another revision than the one planned against. */
  readonly disagreeing: readonly string[];
}

/** Gets the current configuration and the loaded adapters from the nodes, then computes the plan locally. */
export async function planAgainstFleet(
  client: AdminClient,
  intent: Configuration,
): Promise<Result<PlannedChange, AdminError>> {
  const inForce = await client.get<ConfigurationInForce>('/configuration');
  if (inForce.isErr()) return err(inForce.error);
  const answers = await fetchFleetStatus(client);
  if (answers.isErr()) return err(answers.error);
  const statuses = answers.value.flatMap((answer) => (answer.status.isOk() ? [answer.status.value] : []));
  const fleet: FleetView = {
    engines: statuses.flatMap((status) =>
      status.engines.map((engine) => ({
        engineId: engine.engineId,
        loaded: engine.adapters.map((adapter) => adapter.key),
      })),
    ),
  };
  const { revision, digest, configuration } = inForce.value;
  const base =
    digest === null
      ? undefined
      : { revision, digest, configuration: configurationSchema.parse(configuration) };
  const disagreeing = statuses
    .filter((status) => status.digest !== (digest ?? ''))
    .map((status) => status.node);
  return ok({ plan: planChange(base, intent, fleet), inForce: inForce.value, disagreeing });
}
