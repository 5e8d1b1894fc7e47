import { hashSeed } from '@canvasridge/clock';
import {
  encodeMemberQuery,
  encodeUpdate,
  encodedSize,
  type EncodedUpdate,
  type Update,
  type VersionUpdate,
} from './codec.js';
import { isPresent, overrides, type Member } from './member.js';
import type { MemberTable } from './member-table.js';
import type { RecordTable } from './record-table.js';

/** The result of comparing the state of another node with the state of this node. */
export interface Difference {
  /** Members and records that are newer on this node, as full updates for the other node. */
  readonly newerHere: readonly EncodedUpdate[];
  /**
   * Versions that this node has of what is newer on the other node, which then answers with the newer
   * contents.
   */
  readonly newerThere: readonly EncodedUpdate[];
}

/** Numbers that differ if two nodes know other members or records. */
export interface StateDigest {
  /** Of the members and the highest version of each one's records, as text. */
  readonly versions: string;
  /** Of all records; 0 from a node that does not send it. */
  readonly records: number;
}

/**
 * The members and records that this node knows, in the three forms used for anti-entropy: a digest, a list of
 * versions, and full updates.
 */
export class StateComparison {
  readonly #table: MemberTable;
  readonly #records: RecordTable;
  readonly #self: () => Member;
  #lastDigest: (StateDigest & { readonly cacheKey: string }) | undefined;

  constructor(table: MemberTable, records: RecordTable, self: () => Member) {
    this.#table = table;
    this.#records = records;
    this.#self = self;
  }

  /** Equal on two nodes with the same state. Cached until the state changes. */
  digest(): StateDigest {
    const { incarnation, state } = this.#self();
    const cacheKey = `${this.#table.version}/${this.#records.version}/${incarnation}/${state}`;
    if (this.#lastDigest?.cacheKey !== cacheKey) {
      const versions = this.#presentMembers().map(({ id, incarnation, state }) => {
        const recordVersion = this.#records.highestVersion(id);
        return encodeUpdate({ kind: 'version', id, incarnation, state, recordVersion }).slice(1).join('/');
      });
      const records = this.#presentMembers().map(({ id }) => `${id}/${this.#records.digest(id)}`);
      this.#lastDigest = { cacheKey, versions: String(hashSorted(versions)), records: hashSorted(records) };
    }
    return this.#lastDigest;
  }

  /** Whether another node that sent this digest may have other members or records. */
  differsFrom(received: StateDigest): boolean {
    const { versions, records } = this.digest();
    return received.versions !== versions || (received.records !== 0 && received.records !== records);
  }

  /** The versions of this node, the other present members and their records. */
  versions(): EncodedUpdate[] {
    return this.#presentMembers().map((member) => this.#encodeVersionOf(member));
  }

  #presentMembers(): Member[] {
    return [...this.#table.all().filter((member) => isPresent(member.state)), this.#self()];
  }

  /** All members and records as full updates, for a node that joins. */
  fullState(): EncodedUpdate[] {
    const members = [...this.#table.all(), this.#self()].map((member) => this.#encodeMember(member));
    const records = [...this.#records.all()].map((record) => encodeUpdate({ kind: 'record', ...record }));
    return [...members, ...records];
  }

  /**
   * Compares versions received from another node with the state of this node. The exchange of updates that
   * follows terminates, because both nodes then hold equal versions and records.
   */
  compare(updates: readonly Update[]): Difference {
    const newerHere: EncodedUpdate[] = [];
    const newerThere: EncodedUpdate[] = [];
    for (const update of updates) {
      if (update.kind === 'version') this.#compareVersion(update, newerHere, newerThere);
    }
    return { newerHere, newerThere };
  }

  /** The state of a member without its addresses, which the receivers already know. */
  encodeState(member: Member): EncodedUpdate {
    return encodeUpdate({
      kind: 'member-state',
      id: member.id,
      incarnation: member.incarnation,
      state: member.state,
      suspicionAgeMs: this.#table.suspicionAgeMs(member.id),
    });
  }

  #compareVersion(received: VersionUpdate, newerHere: EncodedUpdate[], newerThere: EncodedUpdate[]): void {
    const { id, incarnation, state, recordVersion, recordDigest } = received;
    const self = this.#self();
    const known = id === self.id ? self : this.#table.get(id);
    if (known === undefined) {
      newerThere.push(encodeMemberQuery(id));
      return;
    }
    if (overrides(known.incarnation, known.state, received)) newerHere.push(this.#encodeMember(known));
    const areRecordsDifferent = recordDigest !== undefined && recordDigest !== this.#records.digest(id);
    for (const record of this.#records.byOwner(id)) {
      if (record.version > recordVersion || areRecordsDifferent)
        newerHere.push(encodeUpdate({ kind: 'record', ...record }));
    }
    const isNewerThere =
      overrides(incarnation, state, known) ||
      recordVersion > this.#records.highestVersion(id) ||
      areRecordsDifferent;
    if (isNewerThere && id !== self.id) newerThere.push(this.#encodeVersionOf(known));
  }

  #encodeVersionOf({ id, incarnation, state }: Member): EncodedUpdate {
    const recordVersion = this.#records.highestVersion(id);
    const recordDigest = this.#records.digest(id);
    return encodeUpdate({ kind: 'version', id, incarnation, state, recordVersion, recordDigest });
  }

  #encodeMember(member: Member): EncodedUpdate {
    const { incarnation, state } = member;
    if (!isPresent(state)) return this.encodeState(member);
    return encodeUpdate({ kind: 'member', identity: member, incarnation, state });
  }
}

/**
 * Splits updates into batches that each fit into one datagram. Returns at least one batch, which may be
 * empty.
 */
export function splitIntoBatches(updates: readonly EncodedUpdate[], maxBytes: number): EncodedUpdate[][] {
  const batches: EncodedUpdate[][] = [];
  let batch: EncodedUpdate[] = [];
  let bytes = 0;
  for (const update of updates) {
    const size = encodedSize(update);
    if (bytes + size > maxBytes && batch.length > 0) {
      batches.push(batch);
      batch = [];
      bytes = 0;
    }
    batch.push(update);
    bytes += size;
  }
  return [...batches, batch];
}

function hashSorted(parts: string[]): number {
  return hashSeed(parts.sort().join(','));
}
