import type { NodeStatus } from '@canvasridge/domain';
import type { AdminClient, AdminError } from './admin-client.js';
import { err, ok, type Result } from 'neverthrow';

/** Status of one node, or the error of asking for it. */
export interface NodeStatusResult {
  readonly id: string;
  readonly status: Result<NodeStatus, AdminError>;
}

/** Gets the status of one node, then of all other members that it lists, concurrently. */
export async function fetchFleetStatus(client: AdminClient): Promise<Result<NodeStatusResult[], AdminError>> {
  const first = await client.get<NodeStatus>('/status');
  if (first.isErr()) return err(first.error);
  const others = first.value.members.filter((member) => member.id !== first.value.node);
  const answers = await Promise.all(
    others.map(async (member) => ({
      id: member.id,
      status: await client.at(member.peerUrl).get<NodeStatus>('/status'),
    })),
  );
  const own: NodeStatusResult = { id: first.value.node, status: ok(first.value) };
  return ok([own, ...answers].sort((a, b) => (a.id < b.id ? -1 : 1)));
}
