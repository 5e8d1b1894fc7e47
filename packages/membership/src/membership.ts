import { jittered, Notifier, type Clock, type Random, type Timer } from '@canvasridge/clock';
import {
  LimitedEvents,
  errorFields,
  keepRunning,
  runInBackground,
  type Telemetry,
} from '@canvasridge/telemetry';
import { BroadcastQueue } from './broadcast-queue.js';
import {
  encodeMemberQuery,
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
import { StateComparison, splitIntoBatches } from './state-comparison.js';
import { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from './timing.js';

/** Callbacks for changes that this node learns of. */
export interface MembershipEvents {
  /** A member's state or identity changed; `before` is its previous state, undefined for a new member. */
  onMember?(member: Member, before: MemberState | undefined): void;
  /** Called for each message of a known member, with its number for the configuration in force there. */
  onRevision?(member: Member, revision: number): void;
  /** A record of another node was added or replaced. */
  onRecord?(record: PublishedRecord): void;
}

export interface MembershipOptions {
  readonly identity: MemberIdentity;
  readonly transport: DatagramTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly events: MembershipEvents;
  /** Addresses through which to join, from the settings and the machine list. */
  readonly seeds: () => readonly string[];
  /** Number that identifies the configuration in force on this node, sent with each message. */
  readonly revision: () => number;
  readonly timing?: MembershipTiming;
}

/** Transmissions of an update about a member, in addition to the logarithm of the number of members. */
const BASE_TRANSMISSIONS = 3;
const RECORD_TRANSMISSIONS = 4;
/**
 * How many members a node compares its state with after it was cut off. One of them may be outdated as well.
 */
const COMPARISON_PARTNERS = 3;
/** Age of a suspicion that begins now, and of a state that is not a suspicion. */
const ZERO_AGE = 0;
/** Maximum time between the start of a connection attempt and the report that it was refused. */
const MAX_REFUSAL_DELAY_MS = 600;
/** A gap of this many probe periods between two probes means that this process was paused. */
const PAUSE_PROBE_PERIODS = 3;
/** Minimum time between two log lines about unrecognised data from the same sender. */
const UNRECOGNISED_LOG_PERIOD_MS = 60_000;
/** More than a fleet has members. Bounds the map in case sender ids keep changing. */
const MAX_LOGGED_SENDERS = 1024;
/** Interval between attempts to join through unknown seeds, after the startup phase. */
const REJOIN_PERIOD_MS = 8000;
/** Startup phase, in which this node tries to join in every probe period. */
const STARTUP_PERIOD_MS = 10_000;

/**
 * SWIM membership (Das, Gupta, Motivala, 2002) with suspicion and incarnations, and gossip of small records.
 * It runs three background tasks: probing members, sending queued updates, and comparing state digests
 * (anti-entropy).
 */
export class Membership {
  readonly identity: MemberIdentity;
  /** When the last log line about unrecognised data was written, by sender. */
  readonly #lastUnrecognisedLogMs = new Map<string, number>();
  /** Errors that datagrams cause. */
  readonly #failures: LimitedEvents;
  readonly #options: MembershipOptions;
  readonly #timing: MembershipTiming;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #table: MemberTable;
  readonly #records = new RecordTable();
  readonly #comparison: StateComparison;
  readonly #queue = new BroadcastQueue();
  readonly #updateQueued = new Notifier();
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
    // A restarted process must override what others know of its predecessor, so its incarnation and record
    // version start at the wall time, above those of the predecessor.
    this.#incarnation = Math.floor(options.clock.wallTime() / 1000) + 1;
    this.#recordVersion = Math.floor(options.clock.wallTime());
    this.#table = new MemberTable({
      clock: options.clock,
      suspicionMs: this.#timing.suspicionMs,
      removedRetentionMs: this.#timing.removedRetentionMs,
      onChange: (member, before) => this.#handleMemberChange(member, before),
    });
    this.#comparison = new StateComparison(this.#table, this.#records, () => this.self());
    this.#failures = new LimitedEvents(options.telemetry, options.clock);
    options.transport.onMessage((from, bytes) => this.#receiveLogged(from, bytes));
  }

  start(): void {
    this.#announceSelf();
    keepRunning(this.#options, 'membership-probe', () => this.#probeTask());
    keepRunning(this.#options, 'membership-gossip', () => this.#gossipTask());
    keepRunning(this.#options, 'membership-synchronisation', () => this.#synchronisationTask());
  }

  /** Stops all tasks without announcing it, as a crash would. */
  stop(): void {
    this.#stop.abort();
    this.#updateQueued.notify();
    this.#options.transport.close();
  }

  /** Announces that this node accepts no new work but still completes the work it has. */
  drain(): void {
    this.#state = 'draining';
    this.#incarnation += 1;
    this.#announceSelf();
    this.#pushToMany();
  }

  /** Announces the departure of this node to several members immediately. */
  leave(): void {
    this.#state = 'left';
    this.#incarnation += 1;
    this.#announceSelf();
    this.#pushToMany();
  }

  /** Sends queued updates to a few random members immediately. */
  gossipNow(): void {
    for (const member of this.#randomMembers(this.#timing.gossipFanout)) this.#send(member.gossip, 'gossip');
  }

  /** Publishes `value` under `key`, replacing the previous value that this node published there. */
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
    return this.#records.byOwner(owner);
  }

  self(): Member {
    const known = this.#selfMember;
    if (known?.incarnation === this.#incarnation && known.state === this.#state) return known;
    const member = { ...this.identity, incarnation: this.#incarnation, state: this.#state };
    this.#selfMember = member;
    return member;
  }

  /** The member with this id, which may be this node. */
  get(id: string): Member | undefined {
    return id === this.identity.id ? this.self() : this.#table.get(id);
  }

  /** All members believed present, including this node. Returns the same array until something changes. */
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

  /**
   * Probes the member with this peer URL immediately. Called when the member seems unresponsive for another
   * reason.
   */
  probeNow(peerUrl: string): void {
    const target = this.#presentByPeerUrl(peerUrl);
    if (target !== undefined) this.#startProbe(target);
  }

  /**
   * Pings known members regardless of their believed state. Returns those that answered within the timeout.
   */
  async findReachable(ids: readonly string[], timeoutMs: number): Promise<string[]> {
    const answers = await Promise.all(
      ids.map((id) => {
        const member = this.#table.get(id);
        return member === undefined ? Promise.resolve(false) : this.#ping(member.gossip, timeoutMs);
      }),
    );
    return ids.filter((_, index) => answers[index] === true);
  }

  /**
   * Starts a comparison of state with these members immediately. This node may have missed updates that are
   * not sent again, because members that believed it gone sent it nothing.
   */
  startComparisonWith(ids: readonly string[]): void {
    for (const id of ids) {
      const member = this.#table.get(id);
      if (member !== undefined) this.#sendDigest(member);
    }
  }

  /**
   * Reports that the machine of a member refused a connection. The process is gone, so the member is declared
   * dead without a suspicion period. A member that is wrongly declared dead refutes it as it would refute a
   * suspicion.
   */
  reportConnectionRefused(peerUrl: string): void {
    const target = this.#presentByPeerUrl(peerUrl);
    if (target === undefined) return;
    // The connection may have been refused before the currently known process started.
    if (this.#table.incarnationAgeMs(target.id) < MAX_REFUSAL_DELAY_MS) return;
    this.#table.mergeState(target.id, target.incarnation, 'dead', ZERO_AGE);
  }

  #presentByPeerUrl(peerUrl: string): Member | undefined {
    return this.#table.present().find((member) => member.peerUrl === peerUrl);
  }

  /**
   * All other known members, including dead and departed ones. Returns the same array until something
   * changes.
   */
  knownMembers(): readonly Member[] {
    return this.#table.all();
  }

  // --- tasks -------------------------------------------------------------------------------------

  async #probeTask(): Promise<void> {
    await this.#clock.sleep(this.#random.next() * this.#timing.probePeriodMs, this.#stop.signal);
    while (!this.#stop.signal.aborted) {
      const startedAtMs = this.#clock.now();
      this.#detectPause(startedAtMs);
      this.#contactSeeds();
      const target = this.#nextProbeTarget();
      if (target !== undefined) this.#startProbe(target);
      for (const removedId of this.#table.removeExpired()) this.#records.removeOwner(removedId);
      this.#lastProbeAtMs = startedAtMs;
      await this.#clock.sleep(this.#timing.probePeriodMs, this.#stop.signal);
    }
  }

  async #gossipTask(): Promise<void> {
    await this.#clock.sleep(this.#random.next() * this.#timing.gossipPeriodMs, this.#stop.signal);
    while (!this.#stop.signal.aborted) {
      if (this.#queue.size === 0) await this.#updateQueued.wait();
      if (this.#stop.signal.aborted) return;
      this.gossipNow();
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
      if (partner !== undefined) this.#sendDigest(partner);
    }
  }

  // --- failure detection -------------------------------------------------------------------------

  /**
   * After a pause of this process all members seem unresponsive, and none of them must be suspected because
   * of it.
   */
  #detectPause(nowMs: number): void {
    if (nowMs - this.#lastProbeAtMs < PAUSE_PROBE_PERIODS * this.#timing.probePeriodMs) return;
    this.#awaitedAcks.clear();
    this.#options.telemetry.event('warn', 'membership.paused', this.identity.id, {
      pausedMs: Math.round(nowMs - this.#lastProbeAtMs),
    });
    this.#incarnation += 1;
    this.#announceSelf();
    // The others went on meanwhile, and updates that this node missed are not sent again on their own.
    this.startComparisonWith(this.#randomMembers(COMPARISON_PARTNERS).map(({ id }) => id));
  }

  #nextProbeTarget(): Member | undefined {
    // Round-robin over a shuffled list bounds the time until every member has been probed
    // (SWIM, section 4.3).
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

  #startProbe(target: Member): void {
    runInBackground(this.#options.telemetry, 'member-probe', () => this.#probe(target));
  }

  async #probe(target: Member): Promise<void> {
    const startedAtMs = this.#clock.now();
    if (await this.#ping(target.gossip, this.#timing.probeTimeoutMs)) return;
    const helpers = this.#randomMembers(this.#timing.indirectProbes, target.id);
    const leftMs = this.#timing.probePeriodMs - this.#timing.probeTimeoutMs;
    const answered = this.#awaitAck((sequence) => {
      for (const helper of helpers) this.#send(helper.gossip, 'ping-request', sequence, target.gossip);
      this.#send(target.gossip, 'ping', sequence);
    }, leftMs);
    if (await answered) return;
    if (this.#stop.signal.aborted) return;
    // If this process was suspended during the probe, the missing answer says nothing about the target.
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

  #receiveLogged(from: string, bytes: Uint8Array): void {
    try {
      this.#receive(from, bytes);
    } catch (cause) {
      this.#failures.event('error', 'membership.datagram-failed', from, errorFields(cause));
    }
  }

  #receive(from: string, bytes: Uint8Array): void {
    if (this.#stop.signal.aborted) return;
    const decoded = decodeMessage(bytes);
    if (decoded === undefined) return;
    if (decoded.unrecognisedCount > 0)
      this.#logUnrecognised(decoded.message.sender, decoded.unrecognisedCount);
    const incarnation = this.#incarnation;
    for (const update of decoded.updates) this.#applyUpdate(update);
    // If the message made this node refute something about itself, the sender gets the refutation
    // immediately.
    if (this.#incarnation !== incarnation)
      this.#sendUpdates(from, 'gossip', 0, '', [encodeUpdate(this.#selfUpdate())]);
    this.#answerVersions(from, decoded.updates);
    this.#handleMessage(from, decoded.message);
    const sender = this.#table.get(decoded.message.sender);
    if (sender !== undefined) this.#options.events.onRevision?.(sender, decoded.message.revision);
  }

  /**
   * Logs that a sender of another build sends data unknown to this build, at most once a minute for each
   * sender.
   */
  #logUnrecognised(sender: string, count: number): void {
    const nowMs = this.#clock.now();
    if (nowMs - (this.#lastUnrecognisedLogMs.get(sender) ?? -Infinity) < UNRECOGNISED_LOG_PERIOD_MS) return;
    this.#lastUnrecognisedLogMs.set(sender, nowMs);
    if (this.#lastUnrecognisedLogMs.size > MAX_LOGGED_SENDERS) this.#lastUnrecognisedLogMs.clear();
    this.#options.telemetry.event('info', 'membership.unread', sender, { count });
  }

  #handleMessage(from: string, message: GossipMessage): void {
    switch (message.kind) {
      case 'ping':
        this.#notifyAbsentSender(message.sender, from);
        this.#send(from, 'ack', message.sequence);
        return;
      case 'ack':
        this.#notifyAbsentSender(message.sender, from);
        this.#awaitedAcks.get(message.sequence)?.();
        return;
      case 'ping-request':
        runInBackground(this.#options.telemetry, 'ping-request', async () => {
          const isAlive = await this.#ping(message.target, this.#timing.probeTimeoutMs);
          if (isAlive) this.#send(from, 'ack', message.sequence);
        });
        return;
      case 'join':
        this.#sendAll(from, 'state', this.#comparison.fullState());
        return;
      case 'digest':
        if (this.#comparison.differsFrom({ versions: message.target, records: message.sequence }))
          this.#sendAll(from, 'versions', this.#comparison.versions());
        return;
      case 'versions':
      case 'state':
      case 'gossip':
        return;
    }
  }

  /**
   * Handles a sender that is not present in the member table. A sender that this node believes dead or left
   * is sent that state, so that it can refute it. An unknown sender is sent this node's identity and asked
   * for its own: if all seeds have restarted, no other node announces a member that kept running, and a state
   * comparison covers only the members that the other side lists. Without this, two nodes owned the same
   * engines for a minute.
   */
  #notifyAbsentSender(sender: string, address: string): void {
    const known = this.#table.get(sender);
    if (known !== undefined && isPresent(known.state)) return;
    if (known === undefined) {
      this.#sendUpdates(address, 'gossip', 0, '', [
        encodeUpdate(this.#selfUpdate()),
        encodeMemberQuery(sender),
      ]);
      return;
    }
    const believedState = encodeUpdate({
      kind: 'member-state',
      id: sender,
      incarnation: known.incarnation,
      state: known.state,
      suspicionAgeMs: ZERO_AGE,
    });
    this.#sendUpdates(address, 'gossip', 0, '', [believedState]);
  }

  #applyUpdate(update: Update): void {
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
      // Published by the previous process of this node. Continue above its version, so that new records
      // override it, and keep it until then as the others do.
      this.#recordVersion = Math.max(this.#recordVersion, update.version);
      this.#records.merge(update);
      return;
    }
    if (!this.#records.merge(update)) return;
    this.#broadcast(`record/${update.owner}/${update.key}`, update);
    this.#options.events.onRecord?.(update);
  }

  /**
   * Refutes a received claim about this node that is wrong or describes an earlier process, by announcing a
   * higher incarnation.
   */
  #refute(incarnation: number, state: MemberState, identity: MemberIdentity): void {
    if (this.#state === 'left') return;
    const sameProcess = identity.processToken === this.identity.processToken;
    const agrees = state === this.#state && sameProcess;
    if (incarnation < this.#incarnation || (incarnation === this.#incarnation && agrees)) return;
    this.#incarnation = incarnation + 1;
    this.#announceSelf();
    if (state === 'dead')
      this.startComparisonWith(this.#randomMembers(COMPARISON_PARTNERS).map(({ id }) => id));
  }

  // --- sending -----------------------------------------------------------------------------------

  #handleMemberChange(member: Member, before: MemberState | undefined): void {
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
    this.#updateQueued.notify();
  }

  readonly #transmissions = (): number =>
    BASE_TRANSMISSIONS + Math.ceil(Math.log2(this.#table.present().length + 2));

  /** Up to `count` distinct random present members, excluding the one with the id `except`. */
  #randomMembers(count: number, except = ''): Member[] {
    const candidates = this.#table.present();
    const chosen = new Set<Member>();
    const limit = Math.min(count, candidates.filter((member) => member.id !== except).length);
    while (chosen.size < limit) {
      const member = this.#random.pick(candidates);
      if (member !== undefined && member.id !== except) chosen.add(member);
    }
    return [...chosen];
  }

  #pushToMany(): void {
    const fanout = Math.min(this.#table.present().length, 2 * this.#transmissions());
    for (const member of this.#randomMembers(fanout)) this.#send(member.gossip, 'gossip');
  }

  /**
   * Joins through a seed address that no present member has: at startup, and after a partition in which both
   * sides declared each other dead. Nodes that start together may first form several groups, so a node tries
   * in every probe period during startup. Later it tries less often, because a machine that is gone may stay
   * listed for a long time.
   */
  #contactSeeds(): void {
    const nowMs = this.#clock.now();
    const alone = this.#table.present().length === 0;
    if (!alone && nowMs < this.#nextJoinAtMs) return;
    const starting = nowMs - this.#startedAtMs < STARTUP_PERIOD_MS;
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

  #sendDigest({ gossip }: Member): void {
    const { versions, records } = this.#comparison.digest();
    this.#send(gossip, 'digest', records, versions);
  }

  /** Sends a message that carries queued updates. */
  #send(address: string, kind: MessageKind, sequence = 0, target = ''): void {
    const updates = this.#queue.take(this.#timing.maxUpdateBytes);
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

  /** Sends all updates, in as many datagrams as needed. */
  #sendAll(address: string, kind: MessageKind, updates: readonly EncodedUpdate[]): void {
    for (const batch of splitIntoBatches(updates, this.#timing.maxUpdateBytes))
      this.#sendUpdates(address, kind, 0, '', batch);
  }

  /**
   * Answers version updates: sends what is newer on this node and asks for what is newer on the other node.
   */
  #answerVersions(from: string, updates: readonly Update[]): void {
    const { newerHere, newerThere } = this.#comparison.compare(updates);
    if (newerHere.length > 0) this.#sendAll(from, 'state', newerHere);
    if (newerThere.length > 0) this.#sendAll(from, 'versions', newerThere);
  }
}

/**
 * Records are only routing hints: a few transmissions reach nearly all nodes, and state comparison delivers
 * them to the rest.
 */
function recordTransmissions(): number {
  return RECORD_TRANSMISSIONS;
}
