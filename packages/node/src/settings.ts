import { DEFAULT_START_TIMEOUT_SECONDS, listenAddress } from '@canvasridge/settings';
import * as z from 'zod';

const name = z.string().regex(/^[\w.-]{1,64}$/, 'expected 1 to 64 letters, digits, ".", "_" or "-"');
const url = z.url({ protocol: /^https?$/, error: 'expected a URL such as "http://10.0.0.5:9000"' });
const secret = z.string().min(16, 'expected at least 16 characters');

/** Schema of the settings file of `canvasridge-node`; docs/reference/settings.md explains each field. */
export const nodeSettingsSchema = z.strictObject({
  node: z.strictObject({ id: name, zone: name, region: name.default('region-1') }),
  listen: z.strictObject({
    /** HTTP for callers. */
    callers: listenAddress,
    /** HTTP for peers and operators. */
    peers: listenAddress,
    /** UDP for the membership protocol. */
    gossip: listenAddress,
  }),
  /** Addresses announced to others, where they differ from the listen addresses. */
  advertise: z
    .strictObject({ callersUrl: url.optional(), peersUrl: url.optional(), gossip: z.string().optional() })
    .default({}),
  platform: z.strictObject({ configurationUrl: url, machineListUrl: url }),
  /** Gossip addresses of other nodes, so that the node can join while the machine list is unavailable. */
  seeds: z.array(z.string()).default([]),
  /** Authenticates nodes to each other; the same on all nodes. */
  peerKey: secret,
  /** Bearer token of operators' calls. */
  adminKey: secret,
  log: z.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') }).prefault({}),
  statsd: z.strictObject({ host: z.string(), port: z.int().min(1).max(65_535) }).optional(),
  /** Time within which the addresses have to become free if others use them at the start, in seconds. */
  startTimeoutSeconds: z.number().positive().default(DEFAULT_START_TIMEOUT_SECONDS),
  /** What clients may take of the machine together. */
  limits: z
    .strictObject({
      /** Memory for bodies of requests that are being received or run, in MB. */
      bodiesMb: z.number().positive().default(48),
      /** Memory for parts of answers that wait for slow readers, in MB. */
      unsentAnswersMb: z.number().positive().default(48),
      /** Connections of callers. */
      callerConnections: z.int().min(1).default(1800),
      /** Connections of peers and operators. */
      peerConnections: z.int().min(1).default(1200),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** How long a stopping node still accepts requests, in seconds. */
      lingerSeconds: z.number().min(0).default(8),
      /** Time after which a stopping node exits even if requests are still running, in seconds. */
      limitSeconds: z.number().min(1).default(300),
    })
    .prefault({}),
});

export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
