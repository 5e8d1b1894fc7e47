import { hashSeed } from '@canvasridge/clock';
import type { RecordUpdate } from './codec.js';

/** A value published by a node under a key. */
export interface PublishedRecord {
  readonly owner: string;
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** The newest known value of each key of each node. */
export class RecordTable {
  readonly #byOwner = new Map<string, Map<string, PublishedRecord>>();
  /** By owner, until one of its records changes. */
  readonly #digests = new Map<string, number>();
  #version = 0;

  /** Incremented at every change to the table; unrelated to the versions of records. */
  get version(): number {
    return this.#version;
  }

  /** Stores an update if it is newer than the known record; returns whether it was. */
  merge(update: RecordUpdate): boolean {
    let records = this.#byOwner.get(update.owner);
    if (records === undefined) {
      records = new Map();
      this.#byOwner.set(update.owner, records);
    }
    const known = records.get(update.key);
    if (known !== undefined && known.version >= update.version) return false;
    this.#version += 1;
    this.#digests.delete(update.owner);
    records.set(update.key, {
      owner: update.owner,
      key: update.key,
      version: update.version,
      value: update.value,
    });
    return true;
  }

  /** Removes all records of a node. */
  removeOwner(owner: string): void {
    if (this.#byOwner.delete(owner)) this.#version += 1;
    this.#digests.delete(owner);
  }

  *all(): Iterable<PublishedRecord> {
    for (const records of this.#byOwner.values()) yield* records.values();
  }

  byOwner(owner: string): Iterable<PublishedRecord> {
    return this.#byOwner.get(owner)?.values() ?? [];
  }

  /** Highest version among the records of one owner; 0 if it has none. */
  highestVersion(owner: string): number {
    let highest = 0;
    for (const record of this.byOwner(owner)) highest = Math.max(highest, record.version);
    return highest;
  }

  /**
   * A number that differs if the records of an owner do. Its highest version does not tell that: a record of a lower
   * version may be missing.
   */
  digest(owner: string): number {
    const known = this.#digests.get(owner);
    if (known !== undefined) return known;
    const versions = [...this.byOwner(owner)].map(({ key, version }) => `${key}/${version}`);
    const digest = hashSeed(versions.sort().join(','));
    this.#digests.set(owner, digest);
    return digest;
  }
}
