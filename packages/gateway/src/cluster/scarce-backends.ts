import type { BackendDescription, BackendService } from '@canvasridge/serving';

/**
 * Whether the slots of a service without engines are granted by one node: there are fewer of them than nodes, so
 * that nodes can't divide them among themselves. Nodes with different lists may disagree for a while; one that
 * asks for no grant chooses a backend itself.
 */
export function isScarce(
  service: BackendService,
  backends: readonly BackendDescription[],
  nodeCount: number,
): boolean {
  if (service.engine !== undefined) return false;
  let slots = 0;
  for (const backend of backends) {
    if (backend.state === 'ready') slots += backend.slots;
    // Called for each request, and a service may have hundreds of backends.
    if (slots >= nodeCount) return false;
  }
  return slots > 0;
}
