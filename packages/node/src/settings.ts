import { listenAddress } from '@canvasridge/settings';
import * as z from 'zod';

const name = z.string().regex(/^[\w.-]{1,64}$/, 'expected 1 to 64 letters, digits, ".", "_" or "-"');
const url = z.url({ protocol: /^https?$/, error: 'expected a URL such as "http://10.0.0.5:9000"' });
const secret = z.string().min(16, 'expected at least 16 characters');

/** Settings file of `canvasridge-node`. docs/reference/settings.md explains each field. */
export const nodeSettingsSchema = z.strictObject({
  node: z.strictObject({ id: name, zone: name, region: name.default('region-1') }),
  listen: z.strictObject({
    /** Callers' HTTP. */
    callers: listenAddress,
    /** Peers' and operators' HTTP. */
    peers: listenAddress,
    /** Membership, UDP. */
    gossip: listenAddress,
  }),
  /** Addresses told to others, where they differ from those listened on. */
  advertise: z
    .strictObject({ callersUrl: url.optional(), peersUrl: url.optional(), gossip: z.string().optional() })
    .default({}),
  platform: z.strictObject({ configurationUrl: url, machineListUrl: url }),
  /** Membership addresses of a few other nodes, for a start without the machine list. */
  seeds: z.array(z.string()).default([]),
  /** Shared by all nodes. */
  peerKey: secret,
  /** For operators' calls. */
  adminKey: secret,
  log: z.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') }).prefault({}),
  statsd: z.strictObject({ host: z.string(), port: z.int().min(1).max(65_535) }).optional(),
  drain: z
    .strictObject({
      /** Time in which requests at a stopping node are still taken, in seconds. */
      lingerSeconds: z.number().min(0).default(8),
      /** Time after which a stopping node ends even with requests running, in seconds. */
      limitSeconds: z.number().min(1).default(300),
    })
    .prefault({}),
});

export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
