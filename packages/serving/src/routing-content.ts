import type { BackendDescription } from './backend.js';

/** The fields of a description that {@link routingContent} reads, which need not be valid. */
export type RoutingFields = Readonly<
  Record<Exclude<keyof BackendDescription, 'id' | 'models' | 'softwareVersion'>, unknown>
> & { readonly models: readonly { readonly name: unknown }[] };

/** The parts of a description that routing needs: everything except the loaded adapters. */
export function routingContent({ service, address, zone, state, slots, models }: RoutingFields): string {
  return JSON.stringify([service, address, zone, state, slots, models.map((model) => model.name)]);
}
