import { listenAddress } from '@canvasridge/settings';
import * as z from 'zod';
import { engineBehaviourSchema } from './engine/engine-settings.js';

const name = z.string().regex(/^[\w.-]{1,64}$/, 'expected 1 to 64 letters, digits, ".", "_" or "-"');

/** Settings file of `canvasridge-standin`. docs/reference/settings.md explains each field. */
export const standinSettingsSchema = z.strictObject({
  seed: z.int().default(1),
  /** Address of the configuration service, the machine list and fault injection. */
  listen: listenAddress,
  engines: z.array(
    z.strictObject({
      id: name,
      listen: listenAddress,
      base: name,
      slots: z.int().min(1),
      maxBatch: z.int().min(1),
      checksFence: z.boolean().default(true),
      behaviour: engineBehaviourSchema.prefault({}),
    }),
  ),
  services: z
    .array(z.strictObject({ name, listen: listenAddress, latencyMs: z.number().min(0).default(5) }))
    .default([]),
  weightStore: z
    .strictObject({
      loadsPerSecond: z.number().positive().default(2),
      concurrency: z.int().min(1).default(2),
      loadMs: z.number().min(0).default(600),
    })
    .prefault({}),
  configuration: z.strictObject({ readsPerSecond: z.int().min(1).default(2000) }).prefault({}),
  machines: z
    .strictObject({
      lagMs: z.number().min(0).default(3000),
      list: z
        .array(
          z.strictObject({ id: name, role: z.enum(['entry', 'back-end']), gossip: z.string().optional() }),
        )
        .default([]),
    })
    .prefault({}),
});

export type StandinSettings = z.infer<typeof standinSettingsSchema>;
