import type { Telemetry } from '@canvasridge/telemetry';
import * as z from 'zod';

/**
 * What nodes publish to one another, as it travels. A node of another build may publish fields that are not known here, which are
 * passed over, or a value of another shape, which counts as not published. Fields are added as optional ones; what one means is
 * never changed.
 */
const text = z.string().max(256);

/** A claim to lead a pool. */
const claim = z.object({ epoch: z.number(), token: text });
/** Published by a node that has more to do than it can bear. */
const busy = z.object({ token: text });
/** Requests under which backends broke off, by fingerprints: short, as all of it fits into one datagram. */
const quarantine = z.object({
  /** [fingerprint, age in seconds] */
  quarantined: z.array(z.tuple([text, z.number()]).rest(z.unknown())),
  suspects: z.array(text),
});

export const peerRecords = { claim, busy, quarantine } as const;

export type ClaimRecord = z.infer<typeof claim>;
export type BusyRecord = z.infer<typeof busy>;
export type QuarantineRecord = z.infer<typeof quarantine>;

/** Reads published values, each once: members look at the same records many times a second. */
export class PeerRecordReader {
  readonly #telemetry: Telemetry;
  /** What a value was read as; undefined if it has another shape. */
  readonly #read = new WeakMap<object, unknown>();

  constructor(telemetry: Telemetry) {
    this.#telemetry = telemetry;
  }

  /** Undefined for a value that was taken back (null) or that can't be read, of which one line tells. */
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
