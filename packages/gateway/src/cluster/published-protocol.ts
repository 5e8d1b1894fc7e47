/**
 * Schemas of the messages by which nodes learn the published state from one another. A node of a later build may add
 * fields, which are ignored; one of an earlier build may leave out optional ones.
 */
import type { AdapterVersion, BackendDescription } from '@canvasridge/serving';
import * as z from 'zod';
import { socketAddressField } from '../peers/socket-address-field.js';
import { listOf } from '../peers/list-of.js';

const revision = z.int().min(0);
const digest = z.number();
const era = z.number().optional();
const ageMs = z.number().min(0);

/** What a node already knows of the published state; see `FollowRequest` and `SnapshotRequest`. */
export const knownState = z.object({
  era,
  operatorRevision: revision,
  operatorDigest: digest,
  backendsRevision: revision,
  routingDigest: digest,
});

/** By hand, as there are tens of thousands, and kept as sent: fields of later builds are passed on. */
const adapterVersion = z.custom<AdapterVersion>(isAdapterVersion, 'expected model, adapter and version');

const MAX_ENTRIES = 65_536;
/** Entries of a list of backends are read one by one, so that one that is not valid leaves the others usable. */
const entries = z.array(z.unknown()).max(MAX_ENTRIES);

/** An entry of a list of backends. */
export const revisedBackend = z.object({
  revision,
  value: z.object({
    id: z.string(),
    service: z.string(),
    address: socketAddressField,
    zone: z.string(),
    state: z.enum(['ready', 'draining']),
    slots: z.number(),
    models: listOf(
      z.object({
        name: z.string(),
        adapters: listOf(z.object({ name: z.string(), version: z.number() })),
      }),
    ),
    softwareVersion: z.string().optional(),
  }) satisfies z.ZodType<BackendDescription>,
  partial: z.boolean().optional(),
});

/** The routing fields of an entry that is not valid. */
export const unreadRouting = z.object({
  value: z.object({
    id: z.string(),
    service: z.unknown(),
    address: z.unknown(),
    zone: z.unknown(),
    state: z.unknown(),
    slots: z.unknown(),
    models: listOf(z.object({ name: z.unknown() })),
  }),
});

const advertisedConfiguration = {
  configurationVersion: z.number(),
  configurationAgeMs: ageMs.optional(),
};

/** See `FollowAnswer`. */
export const followAnswer = z.object({
  ...advertisedConfiguration,
  era,
  ageMs: ageMs.optional(),
  backendsRevision: revision,
  listing: z.object({ era, revision, backends: entries }).optional(),
  operatorState: z.object({ era, revision, adapterVersions: listOf(adapterVersion) }).optional(),
  withheld: z.literal(true).optional(),
});

/** See `SnapshotAnswer`. Without the configuration, which is fetched in parts. */
export const snapshotAnswer = z.object({
  ...advertisedConfiguration,
  snapshot: z
    .object({
      era,
      operatorRevision: revision,
      adapterVersions: listOf(adapterVersion),
      backendsRevision: revision,
      backends: entries,
    })
    .optional(),
});

function isAdapterVersion(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const { model, adapter, version } = value as Readonly<Record<string, unknown>>;
  return typeof model === 'string' && typeof adapter === 'string' && typeof version === 'number';
}
