import type { NodeStatus } from '@canvasridge/domain';
import type { AdminClient, AdminError } from './admin-client.js';
import { err, ok, type Result } from 'neverthrow';

/** Status of one node, or why it gave none. */
export interface NodeAnswer {
  readonly id: string;
  readonly status: Result<NodeStatus, AdminError>;
}

/** Asks one node for its members, then all of them at once. */
export async function askFleet(client: AdminClient): Promise<Result<NodeAnswer[], AdminError>> {
  const first = await client.get<NodeStatus>('/status');
  if (first.isErr()) return err(first.error);
  const others = first.value.members.filter((member) => member.id !== first.value.node);
  const answers = await Promise.all(
    others.map(async (member) => ({
      id: member.id,
      status: await client.at(member.peerUrl).get<NodeStatus>('/status'),
    })),
  );
  const own: NodeAnswer = { id: first.value.node, status: ok(first.value) };
  return ok([own, ...answers].sort((a, b) => (a.id < b.id ? -1 : 1)));
}
