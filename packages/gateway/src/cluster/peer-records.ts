import type { Telemetry } from '@canvasridge/telemetry';
import * as z from 'zod';
import { listOf } from '../peers/list-of.js';

/**
 * Schemas of the records that nodes publish to one another, as transmitted. A node of another build may
 * publish fields that are unknown here, which are ignored, or a value of another shape, which counts as not
 * published. New fields must be optional, and the meaning of a field never changes.
 */
const text = z.string().max(256);

/** A claim to lead a pool. */
const claim = z.object({ epoch: z.number(), token: text });
/** Published by a node that is overloaded. */
const busy = z.object({ token: text });
/**
 * Fingerprints of requests during which backends crashed. The record is short, as all of it has to fit into
 * one datagram.
 */
const quarantine = z.object({
  /** [fingerprint, age in seconds, episode]; without the episode for the first one. */
  quarantined: listOf(z.tuple([text, z.number()]).rest(z.unknown())),
  suspects: listOf(text),
});

/** Early ends of quarantines, by [fingerprint, episode]; a record of its own, to fit into one datagram. */
const liftedQuarantines = z.object({ lifted: listOf(z.tuple([text, z.number()]).rest(z.unknown())) });

/** Services whose backends a node can't reach. */
const paths = z.object({ token: text, lost: listOf(text) });

/** By service: requests that one of its backends can turn away in a second before it fails. */
const rejectionLimits = z.object({
  token: text,
  limits: listOf(z.tuple([text, z.number()]).rest(z.unknown())),
});

export const peerRecords = {
  claim,
  busy,
  quarantine,
  liftedQuarantines,
  paths,
  rejectionLimits,
} as const;

export type ClaimRecord = z.infer<typeof claim>;
export type BusyRecord = z.infer<typeof busy>;
export type QuarantineRecord = z.infer<typeof quarantine>;
export type LiftedQuarantinesRecord = z.infer<typeof liftedQuarantines>;

/** Parses published values, each one once: members read the same records many times a second. */
export class PeerRecordReader {
  readonly #telemetry: Telemetry;
  /** The parsed value; undefined if it has another shape. */
  readonly #read = new WeakMap<object, unknown>();

  constructor(telemetry: Telemetry) {
    this.#telemetry = telemetry;
  }

  /** Undefined for a value that was withdrawn (null) or can't be parsed, which is logged once. */
  read<T>(schema: z.ZodType<T>, record: { key: string; owner: string; value: unknown }): T | undefined {
    const { key, owner, value } = record;
    if (typeof value !== 'object' || value === null) return undefined;
    if (this.#read.has(value)) return this.#read.get(value) as T | undefined;
    const parsed = schema.safeParse(value);
    this.#read.set(value, parsed.data);
    if (!parsed.success) this.#telemetry.event('warn', 'peer.record-unread', owner, { key });
    return parsed.data;
  }
}
