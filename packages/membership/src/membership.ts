import { jittered, Notifier, type Clock, type Random, type Timer } from '@canvasridge/clock';
import type { Telemetry } from '@canvasridge/telemetry';
import { BroadcastQueue } from './broadcast-queue.js';
import {
  askFor,
  decodeMessage,
  encodeMessage,
  encodeUpdate,
  type EncodedUpdate,
  type GossipMessage,
  type MessageKind,
  type Update,
} from './codec.js';
import type { DatagramTransport } from './datagram-transport.js';
import { isPresent, type Member, type MemberIdentity, type MemberState } from './member.js';
import { MemberTable } from './member-table.js';
import { RecordTable, type PublishedRecord } from './record-table.js';
import { StateComparison, inBatches } from './state-comparison.js';
import { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from './timing.js';

/** What a node wants to hear from its membership. */
export interface MembershipEvents {
  /** A member's state changed; `before` is undefined for a new one. */
  onMember?(member: Member, before: MemberState | undefined): void;
  /** A peer has a configuration revision, seen on any message of it. */
  onRevision?(member: Member, revision: number): void;
  onRecord?(record: PublishedRecord): void;
}

export interface MembershipOptions {
  readonly identity: MemberIdentity;
  readonly transport: DatagramTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly events: MembershipEvents;
  /** Addresses to contact while no member is known: from settings and from the machine list. */
  readonly seeds: () => readonly string[];
  /** Configuration revision in force here. */
  readonly revision: () => number;
  readonly timing?: MembershipTiming;
}

const TRANSMISSION_FACTOR = 3;
const RECORD_TRANSMISSIONS = 4;
/** Members with which a node that was cut off compares what it knows: one of them may be behind as well. */
const COMPARED_AT_ONCE = 3;
const ZERO_AGE = 0;
/** A connection attempt began this long before its refusal is told, at the most. */
const REFUSAL_AGE_MS = 600;
const PAUSE_FACTOR = 3;
/** Time between two lines about what one sender says that is not known here. */
const UNREAD_LINE_PERIOD_MS = 60_000;
/** More than a fleet has members, so that ids that change don't add up. */
const MOST_UNREAD_SENDERS = 1024;
const REJOIN_PERIOD_MS = 8000;
const START_SPAN_MS = 10_000;

/**
 * SWIM membership (Das, Gupta, Motivala, 2002) with suspicion and incarnations, and gossip of
 * small records. Three tasks run: probing, pushing fresh news, comparing digests.
 */
export class Membership {
  readonly identity: MemberIdentity;
  /** By sender: when the last such line was written. */
  readonly #unreadLinesMs = new Map<string, number>();
  readonly #options: MembershipOptions;
  readonly #timing: MembershipTiming;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #table: MemberTable;
  readonly #records = new RecordTable();
  readonly #comparison: StateComparison;
  readonly #queue = new BroadcastQueue();
  readonly #newsQueued = new Notifier();
  readonly #awaitedAcks = new Map<number, () => void>();
  readonly #stop = new AbortController();
  #probeOrder: string[] = [];
  #incarnation: number;
  #state: MemberState = 'alive';
  #selfMember: Member | undefined;
  #presentWithSelf: { readonly others: readonly Member[]; readonly all: readonly Member[] } | undefined;
  #recordVersion: number;
  #sequence = 0;
  #lastProbeAtMs: number;
  #nextJoinAtMs = 0;
  readonly #startedAtMs: number;

  constructor(options: MembershipOptions) {
    this.identity = options.identity;
    this.#options = options;
    this.#timing = options.timing ?? DEFAULT_MEMBERSHIP_TIMING;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#lastProbeAtMs = options.clock.now();
    this.#startedAtMs = options.clock.now();
    // A restarted process must override what is known of the one before: wall time gives it a higher start.
    this.#incarnation = Math.floor(options.clock.wallTime() / 1000) + 1;
    this.#recordVersion = Math.floor(options.clock.wallTime());
    this.#table = new MemberTable({
      clock: options.clock,
      suspicionMs: this.#timing.suspicionMs,
      forgetMs: this.#timing.forgetMs,
      onChange: (member, before) => this.#memberChanged(member, before),
    });
    this.#comparison = new StateComparison(this.#table, this.#records, () => this.self());
    options.transport.onMessage((from, bytes) => this.#receive(from, bytes));
  }

  start(): void {
    this.#announceSelf();
    void this.#probeTask();
    void this.#gossipTask();
    void this.#synchronisationTask();
  }

  /** Stops all tasks without telling anybody, as a crash would. */
  stop(): void {
    this.#stop.abort();
    this.#newsQueued.notify();
    this.#options.transport.close();
  }

  /** Announces that this node takes no new work, yet still serves what it has. */
  drain(): void {
    this.#state = 'draining';
    this.#incarnation += 1;
    this.#announceSelf();
    this.#pushToMany();
  }

  /** Announces the departure to several members at once. */
  leave(): void {
    this.#state = 'left';
    this.#incarnation += 1;
    this.#announceSelf();
    this.#pushToMany();
  }

  /** Tells a few members at once, in place of waiting for the next period. */
  pushNow(): void {
    for (const member of this.#someMembers(this.#timing.gossipFanout)) this.#send(member.gossip, 'gossip');
  }

  /** Publishes `value` under `key`; it replaces this node's earlier value. */
  publish(key: string, value: unknown): void {
    this.#recordVersion += 1;
    const update = {
      kind: 'record',
      owner: this.identity.id,
      key,
      version: this.#recordVersion,
      value,
    } as const;
    this.#records.merge(update);
    this.#broadcast(`record/${update.owner}/${key}`, update);
  }

  records(): Iterable<PublishedRecord> {
    return this.#records.all();
  }

  recordsOf(owner: string): Iterable<PublishedRecord> {
    return this.#records.of(owner);
  }

  self(): Member {
    const known = this.#selfMember;
    if (known?.incarnation === this.#incarnation && known.state === this.#state) return known;
    const member = { ...this.identity, incarnation: this.#incarnation, state: this.#state };
    this.#selfMember = member;
    return member;
  }

  /** A member by name, this node included. */
  get(id: string): Member | undefined {
    return id === this.identity.id ? this.self() : this.#table.get(id);
  }

  /** All members believed present, this node included. The same list is given until something changes. */
  present(): readonly Member[] {
    const others = this.#table.present();
    if (!isPresent(this.#state)) return others;
    const self = this.self();
    const last = this.#presentWithSelf;
    if (last?.others === others && last.all.at(-1) === self) return last.all;
    const all = [...others, self];
    this.#presentWithSelf = { others, all };
    return all;
  }

  /** Probes the member with this peer address at once, as something else made it seem silent. */
  probeNow(peerUrl: string): void {
    const target = this.#presentAt(peerUrl);
    if (target !== undefined) void this.#probe(target);
  }

  /** Asks members whether they are in reach, whatever is believed of them. Gives those that answered in time. */
  async inReach(ids: readonly string[], timeoutMs: number): Promise<string[]> {
    const answers = await Promise.all(
      ids.map((id) => {
        const member = this.#table.get(id);
        return member === undefined ? Promise.resolve(false) : this.#ping(member.gossip, timeoutMs);
      }),
    );
    return ids.filter((_, index) => answers[index] === true);
  }

  /**
   * Compares what is known with members at once, as this node may have missed news that are not told again: those who
   * believed it gone did not tell it anything.
   */
  compareWith(ids: readonly string[]): void {
    for (const id of ids) {
      const member = this.#table.get(id);
      if (member !== undefined) this.#send(member.gossip, 'digest', 0, this.#comparison.digest());
    }
  }

  /**
   * The machine of a member refused a connection: its process is gone, and there is nothing to wait for. One
   * that is wrongly believed dead refutes as after any suspicion.
   */
  reportRefused(peerUrl: string): void {
    const target = this.#presentAt(peerUrl);
    if (target === undefined) return;
    // The refusal may have met the process before the one that is known now.
    if (this.#table.incarnationAgeMs(target.id) < REFUSAL_AGE_MS) return;
    this.#table.mergeState(target.id, target.incarnation, 'dead', ZERO_AGE);
  }

  #presentAt(peerUrl: string): Member | undefined {
    return this.#table.present().find((member) => member.peerUrl === peerUrl);
  }

  /** All other members that are known, those that are gone included. The same list is given until something changes. */
  known(): readonly Member[] {
    return this.#table.all();
  }

  // --- tasks -------------------------------------------------------------------------------------

  async #probeTask(): Promise<void> {
    await this.#clock.sleep(this.#random.next() * this.#timing.probePeriodMs, this.#stop.signal);
    while (!this.#stop.signal.aborted) {
      const startedAtMs = this.#clock.now();
      this.#noticePause(startedAtMs);
      this.#contactSeeds();
      const target = this.#nextProbeTarget();
      if (target !== undefined) void this.#probe(target);
      for (const forgotten of this.#table.forgetOld()) this.#records.forget(forgotten);
      this.#lastProbeAtMs = startedAtMs;
      await this.#clock.sleep(this.#timing.probePeriodMs, this.#stop.signal);
    }
  }

  async #gossipTask(): Promise<void> {
    await this.#clock.sleep(this.#random.next() * this.#timing.gossipPeriodMs, this.#stop.signal);
    while (!this.#stop.signal.aborted) {
      if (this.#queue.size === 0) await this.#newsQueued.wait();
      if (this.#stop.signal.aborted) return;
      this.pushNow();
      await this.#clock.sleep(this.#timing.gossipPeriodMs, this.#stop.signal);
    }
  }

  async #synchronisationTask(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#clock.sleep(
        jittered(this.#timing.synchronisationPeriodMs, this.#random),
        this.#stop.signal,
      );
      const partner = this.#random.pick(this.#table.present());
      if (partner !== undefined) this.#send(partner.gossip, 'digest', 0, this.#comparison.digest());
    }
  }

  // --- failure detection -------------------------------------------------------------------------

  /** After a pause all members look silent; none of them must be blamed for it. */
  #noticePause(nowMs: number): void {
    if (nowMs - this.#lastProbeAtMs < PAUSE_FACTOR * this.#timing.probePeriodMs) return;
    this.#awaitedAcks.clear();
    this.#options.telemetry.event('warn', 'membership.paused', this.identity.id, {
      pausedMs: Math.round(nowMs - this.#lastProbeAtMs),
    });
    this.#incarnation += 1;
    this.#announceSelf();
    // Others go on as if this node had been there, and news that it missed are not told again by themselves.
    this.compareWith(this.#someMembers(COMPARED_AT_ONCE).map(({ id }) => id));
  }

  #nextProbeTarget(): Member | undefined {
    // Round-robin over a shuffled list bounds the time until every member has been probed (SWIM, 4.3).
    for (;;) {
      const id = this.#probeOrder.pop();
      if (id === undefined) break;
      const member = this.#table.get(id);
      if (member !== undefined && isPresent(member.state)) return member;
    }
    this.#probeOrder = this.#random.shuffle(this.#table.present().map((member) => member.id));
    const first = this.#probeOrder.pop();
    return first === undefined ? undefined : this.#table.get(first);
  }

  async #probe(target: Member): Promise<void> {
    const startedAtMs = this.#clock.now();
    if (await this.#ping(target.gossip, this.#timing.probeTimeoutMs)) return;
    const helpers = this.#someMembers(this.#timing.indirectProbes, target.id);
    const leftMs = this.#timing.probePeriodMs - this.#timing.probeTimeoutMs;
    const answered = this.#awaitAck((sequence) => {
      for (const helper of helpers) this.#send(helper.gossip, 'ping-request', sequence, target.gossip);
      this.#send(target.gossip, 'ping', sequence);
    }, leftMs);
    if (await answered) return;
    if (this.#stop.signal.aborted) return;
    // A process that slept meanwhile learnt nothing about the target.
    if (this.#clock.now() - startedAtMs > 2 * this.#timing.probePeriodMs) return;
    this.#suspect(target);
  }

  #ping(address: string, timeoutMs: number): Promise<boolean> {
    return this.#awaitAck((sequence) => this.#send(address, 'ping', sequence), timeoutMs);
  }

  #awaitAck(request: (sequence: number) => void, timeoutMs: number): Promise<boolean> {
    this.#sequence += 1;
    const sequence = this.#sequence;
    return new Promise((resolve) => {
      const timer: Timer = this.#clock.setTimer(timeoutMs, () => {
        this.#awaitedAcks.delete(sequence);
        resolve(false);
      });
      this.#awaitedAcks.set(sequence, () => {
        timer.cancel();
        this.#awaitedAcks.delete(sequence);
        resolve(true);
      });
      request(sequence);
    });
  }

  #suspect(target: Member): void {
    const known = this.#table.get(target.id);
    if (known === undefined || known.incarnation !== target.incarnation) return;
    this.#table.mergeState(target.id, known.incarnation, 'suspect', ZERO_AGE);
  }

  // --- receiving ---------------------------------------------------------------------------------

  #receive(from: string, bytes: Uint8Array): void {
    if (this.#stop.signal.aborted) return;
    const decoded = decodeMessage(bytes);
    if (decoded === undefined) return;
    if (decoded.unread > 0) this.#noteUnread(decoded.message.sender, decoded.unread);
    const incarnation = this.#incarnation;
    for (const update of decoded.updates) this.#apply(update);
    // Whoever took this node for gone learns at once that it is not.
    if (this.#incarnation !== incarnation)
      this.#sendUpdates(from, 'gossip', 0, '', [encodeUpdate(this.#selfUpdate())]);
    this.#answerVersions(from, decoded.updates);
    this.#answer(from, decoded.message);
    const sender = this.#table.get(decoded.message.sender);
    if (sender !== undefined) this.#options.events.onRevision?.(sender, decoded.message.revision);
  }

  /** A sender of another build says more than is known here: one line a sender and minute. */
  #noteUnread(sender: string, count: number): void {
    const nowMs = this.#clock.now();
    if (nowMs - (this.#unreadLinesMs.get(sender) ?? -Infinity) < UNREAD_LINE_PERIOD_MS) return;
    this.#unreadLinesMs.set(sender, nowMs);
    if (this.#unreadLinesMs.size > MOST_UNREAD_SENDERS) this.#unreadLinesMs.clear();
    this.#options.telemetry.event('info', 'membership.unread', sender, { count });
  }

  #answer(from: string, message: GossipMessage): void {
    switch (message.kind) {
      case 'ping':
        this.#introduceTo(message.sender, from);
        this.#send(from, 'ack', message.sequence);
        return;
      case 'ack':
        this.#introduceTo(message.sender, from);
        this.#awaitedAcks.get(message.sequence)?.();
        return;
      case 'ping-request':
        void this.#ping(message.target, this.#timing.probeTimeoutMs).then((alive) => {
          if (alive) this.#send(from, 'ack', message.sequence);
        });
        return;
      case 'join':
        this.#sendAll(from, 'state', this.#comparison.whole());
        return;
      case 'digest':
        if (message.target !== this.#comparison.digest())
          this.#sendAll(from, 'versions', this.#comparison.versions());
        return;
      case 'versions':
      case 'state':
      case 'gossip':
        return;
    }
  }

  /**
   * A sender that is believed gone is told so, and refutes. One that is not known here learns of this node and is asked for itself:
   * where all seeds have started again, nobody else would tell of one that stayed, and members that compare look only at those that
   * the other side names. Two nodes led the same engines for a minute without it.
   */
  #introduceTo(sender: string, address: string): void {
    const known = this.#table.get(sender);
    if (known !== undefined && isPresent(known.state)) return;
    if (known === undefined) {
      this.#sendUpdates(address, 'gossip', 0, '', [encodeUpdate(this.#selfUpdate()), askFor(sender)]);
      return;
    }
    const verdict = encodeUpdate({
      kind: 'member-state',
      id: sender,
      incarnation: known.incarnation,
      state: known.state,
      suspicionAgeMs: ZERO_AGE,
    });
    this.#sendUpdates(address, 'gossip', 0, '', [verdict]);
  }

  #apply(update: Update): void {
    switch (update.kind) {
      case 'member':
        if (update.identity.id === this.identity.id)
          this.#refute(update.incarnation, update.state, update.identity);
        else this.#table.mergeMember(update.identity, update.incarnation, update.state);
        return;
      case 'member-state':
        if (update.id === this.identity.id) this.#refute(update.incarnation, update.state, this.identity);
        else this.#table.mergeState(update.id, update.incarnation, update.state, update.suspicionAgeMs);
        return;
      case 'record':
        this.#applyRecord(update);
        return;
      case 'version':
        return;
    }
  }

  #applyRecord(update: Update & { kind: 'record' }): void {
    if (update.owner === this.identity.id) {
      // Left over from the process before this one: go above it, so that news of this one prevail.
      this.#recordVersion = Math.max(this.#recordVersion, update.version);
      return;
    }
    if (!this.#records.merge(update)) return;
    this.#broadcast(`record/${update.owner}/${update.key}`, update);
    this.#options.events.onRecord?.(update);
  }

  /** Answers news about this node itself that are wrong or older than it. */
  #refute(incarnation: number, state: MemberState, identity: MemberIdentity): void {
    if (this.#state === 'left') return;
    const sameProcess = identity.processToken === this.identity.processToken;
    const agrees = state === this.#state && sameProcess;
    if (incarnation < this.#incarnation || (incarnation === this.#incarnation && agrees)) return;
    this.#incarnation = incarnation + 1;
    this.#announceSelf();
    if (state === 'dead') this.compareWith(this.#someMembers(COMPARED_AT_ONCE).map(({ id }) => id));
  }

  // --- sending -----------------------------------------------------------------------------------

  #memberChanged(member: Member, before: MemberState | undefined): void {
    if (before === undefined || before !== member.state) {
      this.#options.telemetry.event('info', 'membership.changed', member.id, {
        state: member.state,
        before: before ?? 'unknown',
        incarnation: member.incarnation,
      });
    }
    const announcesAddresses = member.state === 'alive' || member.state === 'draining';
    const topic = `member/${member.id}`;
    if (announcesAddresses) {
      const { incarnation, state } = member;
      this.#broadcast(topic, { kind: 'member', identity: member, incarnation, state });
    } else {
      this.#enqueue(topic, this.#transmissions, () => this.#comparison.encodeState(member));
    }
    this.#options.events.onMember?.(member, before);
  }

  #announceSelf(): void {
    this.#broadcast(`member/${this.identity.id}`, this.#selfUpdate());
  }

  #selfUpdate(): Update {
    return { kind: 'member', identity: this.identity, incarnation: this.#incarnation, state: this.#state };
  }

  #broadcast(topic: string, update: Update): void {
    const encoded = encodeUpdate(update);
    const transmissions = update.kind === 'record' ? recordTransmissions : this.#transmissions;
    this.#enqueue(topic, transmissions, () => encoded);
  }

  #enqueue(topic: string, transmissions: () => number, encode: () => EncodedUpdate): void {
    this.#queue.add(topic, transmissions, encode);
    this.#newsQueued.notify();
  }

  readonly #transmissions = (): number =>
    TRANSMISSION_FACTOR + Math.ceil(Math.log2(this.#table.present().length + 2));

  /** Different members by chance, at most `count`. */
  #someMembers(count: number, except = ''): Member[] {
    const candidates = this.#table.present();
    const chosen = new Set<Member>();
    const most = Math.min(count, candidates.filter((member) => member.id !== except).length);
    while (chosen.size < most) {
      const member = this.#random.pick(candidates);
      if (member !== undefined && member.id !== except) chosen.add(member);
    }
    return [...chosen];
  }

  #pushToMany(): void {
    const many = Math.min(this.#table.present().length, 2 * this.#transmissions());
    for (const member of this.#someMembers(many)) this.#send(member.gossip, 'gossip');
  }

  /**
   * Joins through a listed address that is not known as a member: at the start, and after a partition
   * in which both sides gave each other up. Nodes that start together may first form several groups, so
   * a young one asks in each period; later this is seldom, since a gone machine may stay listed for long.
   */
  #contactSeeds(): void {
    const nowMs = this.#clock.now();
    const alone = this.#table.present().length === 0;
    if (!alone && nowMs < this.#nextJoinAtMs) return;
    const starting = nowMs - this.#startedAtMs < START_SPAN_MS;
    this.#nextJoinAtMs = nowMs + (starting ? 0 : jittered(REJOIN_PERIOD_MS, this.#random));
    const known = new Set(this.#table.present().map((member) => member.gossip));
    const unknown = this.#options
      .seeds()
      .filter((address) => address !== this.identity.gossip && !known.has(address));
    const seed = this.#random.pick(unknown);
    if (seed === undefined) return;
    const self = encodeUpdate(this.#selfUpdate());
    this.#sendUpdates(seed, 'join', 0, '', [self]);
  }

  #send(address: string, kind: MessageKind, sequence = 0, target = ''): void {
    const updates = this.#queue.take(this.#timing.datagramBytes);
    this.#sendUpdates(address, kind, sequence, target, updates);
  }

  #sendUpdates(
    address: string,
    kind: MessageKind,
    sequence: number,
    target: string,
    updates: readonly EncodedUpdate[],
  ): void {
    const revision = this.#options.revision();
    const message = { kind, sender: this.identity.id, revision, sequence, target, updates };
    this.#options.transport.send(address, encodeMessage(message));
  }

  /** Sends updates in as many datagrams as they need. */
  #sendAll(address: string, kind: MessageKind, updates: readonly EncodedUpdate[]): void {
    for (const batch of inBatches(updates, this.#timing.datagramBytes))
      this.#sendUpdates(address, kind, 0, '', batch);
  }

  /** Answers a list of versions with what is newer here, and with a list of what is newer there. */
  #answerVersions(from: string, updates: readonly Update[]): void {
    const { newerHere, newerThere } = this.#comparison.compare(updates);
    if (newerHere.length > 0) this.#sendAll(from, 'state', newerHere);
    if (newerThere.length > 0) this.#sendAll(from, 'versions', newerThere);
  }
}

/** Records are hints for routing: a few forwards reach nearly all nodes, comparing repairs the rest. */
function recordTransmissions(): number {
  return RECORD_TRANSMISSIONS;
}
