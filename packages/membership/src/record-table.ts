import type { RecordUpdate } from './codec.js';

/** A value published by a node. */
export interface PublishedRecord {
  readonly owner: string;
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** The newest value of each key of each node. */
export class RecordTable {
  readonly #byOwner = new Map<string, Map<string, PublishedRecord>>();

  /** Takes an update over if it is newer; returns whether it was. */
  merge(update: RecordUpdate): boolean {
    let records = this.#byOwner.get(update.owner);
    if (records === undefined) {
      records = new Map();
      this.#byOwner.set(update.owner, records);
    }
    const known = records.get(update.key);
    if (known !== undefined && known.version >= update.version) return false;
    records.set(update.key, {
      owner: update.owner,
      key: update.key,
      version: update.version,
      value: update.value,
    });
    return true;
  }

  forget(owner: string): void {
    this.#byOwner.delete(owner);
  }

  *all(): Iterable<PublishedRecord> {
    for (const records of this.#byOwner.values()) yield* records.values();
  }

  of(owner: string): Iterable<PublishedRecord> {
    return this.#byOwner.get(owner)?.values() ?? [];
  }

  /** Highest version of each owner, for comparing tables. */
  highestVersions(): Map<string, number> {
    const highest = new Map<string, number>();
    for (const record of this.all()) {
      highest.set(record.owner, Math.max(highest.get(record.owner) ?? 0, record.version));
    }
    return highest;
  }
}
