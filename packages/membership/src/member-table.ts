import type { Clock, Timer } from '@canvasridge/clock';
import { isPresent, overrides, type Member, type MemberIdentity, type MemberState } from './member.js';

/** The mutable state of one member. */
interface Entry {
  /** Cached result of `toMember`; undefined after a change. */
  member: Member | undefined;
  identity: MemberIdentity;
  incarnation: number;
  state: MemberState;
  /** When this node first learnt of the current incarnation. */
  incarnationSeenAtMs: number;
  suspectedAtMs: number;
  /** When the member last became dead or left; used only in these states. */
  removedAtMs: number;
  /** Declares a suspected member dead when its time to refute is over. */
  suspicionTimer: Timer | undefined;
}

export interface MemberTableOptions {
  readonly clock: Clock;
  /** How long a suspected member has to refute before it is declared dead. */
  readonly suspicionMs: number;
  /** How long dead and departed members are kept. */
  readonly removedRetentionMs: number;
  /** Called after each change of a member's state or identity. */
  readonly onChange: (member: Member, before: MemberState | undefined) => void;
}

/**
 * What this node believes about every other member, merged by incarnation and state. Lists of members are
 * cached until something changes, because every message needs them and building one takes time proportional
 * to the fleet size.
 */
export class MemberTable {
  readonly #options: MemberTableOptions;
  readonly #entries = new Map<string, Entry>();
  #all: readonly Member[] | undefined;
  #present: readonly Member[] | undefined;
  #version = 0;

  constructor(options: MemberTableOptions) {
    this.#options = options;
  }

  get(id: string): Member | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined ? undefined : toMember(entry);
  }

  /** Incremented at every change of any member. */
  get version(): number {
    return this.#version;
  }

  /** Members that take part in the protocol: alive, suspect or draining. */
  present(): readonly Member[] {
    this.#present ??= this.all().filter((member) => isPresent(member.state));
    return this.#present;
  }

  /** All known members, including dead and departed ones. */
  all(): readonly Member[] {
    this.#all ??= [...this.#entries.values()].map(toMember);
    return this.#all;
  }

  /** How long a member has been suspected, in milliseconds; 0 if it is not suspected. */
  suspicionAgeMs(id: string): number {
    const entry = this.#entries.get(id);
    return entry?.state === 'suspect' ? this.#options.clock.now() - entry.suspectedAtMs : 0;
  }

  /**
   * How long this node has known the current incarnation of a member, in milliseconds; 0 if the member is
   * unknown.
   */
  incarnationAgeMs(id: string): number {
    const entry = this.#entries.get(id);
    return entry === undefined ? 0 : this.#options.clock.now() - entry.incarnationSeenAtMs;
  }

  /**
   * Merges an update that has the full identity, which may add the member. Returns whether anything changed.
   */
  mergeMember(identity: MemberIdentity, incarnation: number, state: MemberState): boolean {
    const entry = this.#entries.get(identity.id);
    if (entry === undefined) {
      if (!isPresent(state)) return false;
      const newEntry: Entry = {
        member: undefined,
        identity,
        incarnation,
        state,
        incarnationSeenAtMs: this.#options.clock.now(),
        suspectedAtMs: 0,
        removedAtMs: 0,
        suspicionTimer: undefined,
      };
      this.#entries.set(identity.id, newEntry);
      this.#entryChanged(newEntry, undefined, 0);
      return true;
    }
    if (!overrides(incarnation, state, entry)) return false;
    if (incarnation > entry.incarnation) entry.identity = identity;
    this.#setState(entry, incarnation, state, 0);
    return true;
  }

  /**
   * Merges an update without addresses. An update about an unknown member is ignored. Returns whether
   * anything changed.
   */
  mergeState(id: string, incarnation: number, state: MemberState, suspicionAgeMs: number): boolean {
    const entry = this.#entries.get(id);
    if (entry === undefined || !overrides(incarnation, state, entry)) return false;
    this.#setState(entry, incarnation, state, suspicionAgeMs);
    return true;
  }

  /** Removes members that died or left at least `removedRetentionMs` ago; returns their ids. */
  removeExpired(): string[] {
    const nowMs = this.#options.clock.now();
    const removedIds: string[] = [];
    for (const [id, entry] of this.#entries) {
      if (isPresent(entry.state) || nowMs - entry.removedAtMs < this.#options.removedRetentionMs) continue;
      this.#entries.delete(id);
      this.#invalidateLists();
      removedIds.push(id);
    }
    return removedIds;
  }

  #setState(entry: Entry, incarnation: number, state: MemberState, suspicionAgeMs: number): void {
    const before = entry.state;
    if (incarnation !== entry.incarnation) entry.incarnationSeenAtMs = this.#options.clock.now();
    entry.incarnation = incarnation;
    entry.state = state;
    this.#entryChanged(entry, before, suspicionAgeMs);
  }

  #invalidateLists(): void {
    this.#all = undefined;
    this.#present = undefined;
    this.#version += 1;
  }

  #entryChanged(entry: Entry, before: MemberState | undefined, suspicionAgeMs: number): void {
    const nowMs = this.#options.clock.now();
    entry.member = undefined;
    this.#invalidateLists();
    entry.suspicionTimer?.cancel();
    entry.suspicionTimer = undefined;
    if (!isPresent(entry.state)) entry.removedAtMs = nowMs;
    if (entry.state === 'suspect') this.#startSuspicion(entry, nowMs - suspicionAgeMs);
    this.#options.onChange(toMember(entry), before);
  }

  #startSuspicion(entry: Entry, suspectedAtMs: number): void {
    entry.suspectedAtMs = suspectedAtMs;
    const leftMs = this.#options.suspicionMs - (this.#options.clock.now() - suspectedAtMs);
    const { incarnation } = entry;
    entry.suspicionTimer = this.#options.clock.setTimer(leftMs, () => {
      // A refutation increases the incarnation and cancels this timer, so the suspicion is still valid here.
      if (entry.state === 'suspect') this.#setState(entry, incarnation, 'dead', 0);
    });
  }
}

function toMember(entry: Entry): Member {
  entry.member ??= { ...entry.identity, incarnation: entry.incarnation, state: entry.state };
  return entry.member;
}
