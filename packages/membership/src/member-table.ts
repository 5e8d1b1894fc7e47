import type { Clock, Timer } from '@canvasridge/clock';
import { isPresent, overrides, type Member, type MemberIdentity, type MemberState } from './member.js';

interface Entry {
  /** What callers are given; made anew when something changes. */
  member: Member | undefined;
  identity: MemberIdentity;
  incarnation: number;
  state: MemberState;
  /** When the present incarnation was first heard of. */
  incarnationAtMs: number;
  suspectedAtMs: number;
  removedAtMs: number;
  expiry: Timer | undefined;
}

export interface MemberTableOptions {
  readonly clock: Clock;
  readonly suspicionMs: number;
  readonly forgetMs: number;
  /** Called after each change of a member's state or identity. */
  readonly onChange: (member: Member, before: MemberState | undefined) => void;
}

/**
 * What this node believes of every other member, merged by incarnation and state. Lists of members are kept until
 * something changes: they are asked for with each message, and to build them takes time in proportion to the fleet.
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

  /** Rises with each change of any member. */
  get version(): number {
    return this.#version;
  }

  /** Members that take part in the protocol: alive, suspect or draining. */
  present(): readonly Member[] {
    this.#present ??= this.all().filter((member) => isPresent(member.state));
    return this.#present;
  }

  all(): readonly Member[] {
    this.#all ??= [...this.#entries.values()].map(toMember);
    return this.#all;
  }

  suspicionAgeMs(id: string): number {
    const entry = this.#entries.get(id);
    return entry?.state === 'suspect' ? this.#options.clock.now() - entry.suspectedAtMs : 0;
  }

  /** How long the present incarnation of a member has been known, in milliseconds; 0 for an unknown member. */
  incarnationAgeMs(id: string): number {
    const entry = this.#entries.get(id);
    return entry === undefined ? 0 : this.#options.clock.now() - entry.incarnationAtMs;
  }

  /** News with addresses: may add a member. Returns whether anything changed. */
  mergeMember(identity: MemberIdentity, incarnation: number, state: MemberState): boolean {
    const entry = this.#entries.get(identity.id);
    if (entry === undefined) {
      if (!isPresent(state)) return false;
      const added: Entry = {
        member: undefined,
        identity,
        incarnation,
        state,
        incarnationAtMs: this.#options.clock.now(),
        suspectedAtMs: 0,
        removedAtMs: 0,
        expiry: undefined,
      };
      this.#entries.set(identity.id, added);
      this.#changed(added, undefined, 0);
      return true;
    }
    if (!overrides(incarnation, state, entry)) return false;
    if (incarnation > entry.incarnation) entry.identity = identity;
    this.#setState(entry, incarnation, state, 0);
    return true;
  }

  /** News without addresses, about a member that may be unknown. Returns whether anything changed. */
  mergeState(id: string, incarnation: number, state: MemberState, suspicionAgeMs: number): boolean {
    const entry = this.#entries.get(id);
    if (entry === undefined || !overrides(incarnation, state, entry)) return false;
    this.#setState(entry, incarnation, state, suspicionAgeMs);
    return true;
  }

  /** Forgets members that went away long ago; returns their names. */
  forgetOld(): string[] {
    const nowMs = this.#options.clock.now();
    const forgotten: string[] = [];
    for (const [id, entry] of this.#entries) {
      if (isPresent(entry.state) || nowMs - entry.removedAtMs < this.#options.forgetMs) continue;
      this.#entries.delete(id);
      this.#outdateLists();
      forgotten.push(id);
    }
    return forgotten;
  }

  #setState(entry: Entry, incarnation: number, state: MemberState, suspicionAgeMs: number): void {
    const before = entry.state;
    if (incarnation !== entry.incarnation) entry.incarnationAtMs = this.#options.clock.now();
    entry.incarnation = incarnation;
    entry.state = state;
    this.#changed(entry, before, suspicionAgeMs);
  }

  #outdateLists(): void {
    this.#all = undefined;
    this.#present = undefined;
    this.#version += 1;
  }

  #changed(entry: Entry, before: MemberState | undefined, suspicionAgeMs: number): void {
    const nowMs = this.#options.clock.now();
    entry.member = undefined;
    this.#outdateLists();
    entry.expiry?.cancel();
    entry.expiry = undefined;
    if (!isPresent(entry.state)) entry.removedAtMs = nowMs;
    if (entry.state === 'suspect') this.#startSuspicion(entry, nowMs - suspicionAgeMs);
    this.#options.onChange(toMember(entry), before);
  }

  #startSuspicion(entry: Entry, suspectedAtMs: number): void {
    entry.suspectedAtMs = suspectedAtMs;
    const leftMs = this.#options.suspicionMs - (this.#options.clock.now() - suspectedAtMs);
    const { incarnation } = entry;
    entry.expiry = this.#options.clock.setTimer(leftMs, () => {
      // A refutation raises the incarnation and withdraws this timer, so the suspicion still stands here.
      if (entry.state === 'suspect') this.#setState(entry, incarnation, 'dead', 0);
    });
  }
}

function toMember(entry: Entry): Member {
  entry.member ??= { ...entry.identity, incarnation: entry.incarnation, state: entry.state };
  return entry.member;
}
