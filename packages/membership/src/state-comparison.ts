import { hashSeed } from '@canvasridge/clock';
import {
  askFor,
  encodeUpdate,
  encodedSize,
  type EncodedUpdate,
  type Update,
  type VersionUpdate,
} from './codec.js';
import { isPresent, overrides, type Member } from './member.js';
import type { MemberTable } from './member-table.js';
import type { RecordTable } from './record-table.js';

/** What two members that compare have to tell one another. */
export interface Difference {
  /** Members and records that are newer here. */
  readonly newerHere: readonly EncodedUpdate[];
  /** Versions of what is newer there, which the other side answers in the same way. */
  readonly newerThere: readonly EncodedUpdate[];
}

/** What a member knows, in the forms in which members compare it: a digest, versions, and whole updates. */
export class StateComparison {
  readonly #table: MemberTable;
  readonly #records: RecordTable;
  readonly #self: () => Member;
  #lastDigest: { readonly of: string; readonly text: string } | undefined;

  constructor(table: MemberTable, records: RecordTable, self: () => Member) {
    this.#table = table;
    this.#records = records;
    this.#self = self;
  }

  /** A short text that is the same on two nodes that know the same. */
  digest(): string {
    const { incarnation, state } = this.#self();
    const of = `${this.#table.version}/${this.#records.version}/${incarnation}/${state}`;
    if (this.#lastDigest?.of !== of) {
      const versions = this.versions().map((version) => version.slice(1).join('/'));
      this.#lastDigest = { of, text: String(hashSeed(versions.sort().join(','))) };
    }
    return this.#lastDigest.text;
  }

  versions(): EncodedUpdate[] {
    const present = this.#table.all().filter((member) => isPresent(member.state));
    return [...present, this.#self()].map((member) => this.#versionOf(member));
  }

  /** Members and records as a whole, for one that joins. */
  whole(): EncodedUpdate[] {
    const members = [...this.#table.all(), this.#self()].map((member) => this.#encodeMember(member));
    const records = [...this.#records.all()].map((record) => encodeUpdate({ kind: 'record', ...record }));
    return [...members, ...records];
  }

  /** Compares versions of another member with what is known here. Ends, since what is sent is then equal on both sides. */
  compare(updates: readonly Update[]): Difference {
    const newerHere: EncodedUpdate[] = [];
    const newerThere: EncodedUpdate[] = [];
    for (const update of updates) {
      if (update.kind === 'version') this.#compareVersion(update, newerHere, newerThere);
    }
    return { newerHere, newerThere };
  }

  /** The state of a member without its addresses, which others know. */
  encodeState(member: Member): EncodedUpdate {
    return encodeUpdate({
      kind: 'member-state',
      id: member.id,
      incarnation: member.incarnation,
      state: member.state,
      suspicionAgeMs: this.#table.suspicionAgeMs(member.id),
    });
  }

  #compareVersion(theirs: VersionUpdate, newerHere: EncodedUpdate[], newerThere: EncodedUpdate[]): void {
    const { id, incarnation, state, recordVersion } = theirs;
    const self = this.#self();
    const mine = id === self.id ? self : this.#table.get(id);
    if (mine === undefined) {
      newerThere.push(askFor(id));
      return;
    }
    if (overrides(mine.incarnation, mine.state, theirs)) newerHere.push(this.#encodeMember(mine));
    for (const record of this.#records.of(id)) {
      if (record.version > recordVersion) newerHere.push(encodeUpdate({ kind: 'record', ...record }));
    }
    const behind = overrides(incarnation, state, mine) || recordVersion > this.#records.highestVersion(id);
    if (behind && id !== self.id) newerThere.push(this.#versionOf(mine));
  }

  #versionOf({ id, incarnation, state }: Member): EncodedUpdate {
    const recordVersion = this.#records.highestVersion(id);
    return encodeUpdate({ kind: 'version', id, incarnation, state, recordVersion });
  }

  #encodeMember(member: Member): EncodedUpdate {
    const { incarnation, state } = member;
    if (!isPresent(state)) return this.encodeState(member);
    return encodeUpdate({ kind: 'member', identity: member, incarnation, state });
  }
}

/** Divides updates so that each part fits into one datagram; at least one part, which may be empty. */
export function inBatches(updates: readonly EncodedUpdate[], mostBytes: number): EncodedUpdate[][] {
  const batches: EncodedUpdate[][] = [];
  let batch: EncodedUpdate[] = [];
  let bytes = 0;
  for (const update of updates) {
    const size = encodedSize(update);
    if (bytes + size > mostBytes && batch.length > 0) {
      batches.push(batch);
      batch = [];
      bytes = 0;
    }
    batch.push(update);
    bytes += size;
  }
  return [...batches, batch];
}
