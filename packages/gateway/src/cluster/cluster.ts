import { parseSocketAddress, splitSocketAddress, type SocketAddress } from '@canvasridge/addresses';
import type { LiftedQuarantine, QuarantinedRequest } from '@canvasridge/admission';
import { hashSeed, Notifier, type Clock, type Random } from '@canvasridge/clock';
import {
  DEFAULT_MEMBERSHIP_TIMING,
  Membership,
  type DatagramTransport,
  type Member,
  type MemberState,
  type MembershipTiming,
} from '@canvasridge/membership';
import { PeerVisibility, type LeadershipPeers, type PoolClaim } from '@canvasridge/slots';
import type { Telemetry } from '@canvasridge/telemetry';
import type * as z from 'zod';
import { UnreadLog } from '../peers/unread-log.js';
import type { DirectoryCluster } from './directory.js';
import {
  PeerRecordReader,
  peerRecords,
  type BusyRecord,
  type ClaimRecord,
  type LiftedQuarantinesRecord,
  type QuarantineRecord,
} from './peer-records.js';

export interface ClusterOptions {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  /** `IP:port` of gossip (UDP) and of calls between nodes (TCP). */
  readonly peerAddress: string;
  /** `IP:port` for callers. */
  readonly frontAddress: string;
  /** Random value that distinguishes this process from others of the same node before and after it. */
  readonly processToken: string;
  /** CPU time that this node may use, in cores of the reference speed. */
  readonly capacity: number;
  readonly transport: DatagramTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  /** Peer addresses from the settings; they may be out of date. */
  readonly seeds: () => readonly string[];
  readonly configurationVersion: () => number;
  /** A peer has announced a configuration version. */
  readonly onPeerVersion: (peerAddress: SocketAddress, version: number, zone: string) => void;
  /** A peer has published requests that are kept from backends. */
  readonly onQuarantine: () => void;
}

/**
 * Faster than the defaults, which suit large fleets: until a dead leader is replaced, no adapters are loaded.
 */
const TIMING: MembershipTiming = {
  ...DEFAULT_MEMBERSHIP_TIMING,
  probePeriodMs: 400,
  probeTimeoutMs: 150,
  suspicionMs: 900,
  gossipPeriodMs: 200,
  gossipFanout: 3,
  synchronisationPeriodMs: 4000,
};

/** A node that never met another one acts alone only after this time. */
const ALONE_AFTER_MS = 12_000;
const MAX_REMEMBERED_ADDRESSES = 512;
const SECOND_MS = 1000;
/** Prefix of the token of a process that is not the first one on its machine. */
export const RESTARTED_PREFIX = 'restarted-';
const CLAIM_PREFIX = 'lead/';
const BUSY_KEY = 'busy';
const QUARANTINE_KEY = 'quarantine';
const LIFTED_KEY = 'quarantine-lifted';
/** Members asked for records that this node may have missed: any of them may have missed the same. */
const MEMBERS_ASKED = 3;
/** The node count is the largest seen within this time. */
const NODE_COUNT_WINDOW_MS = 30_000;

/**
 * The members at one moment, grouped as callers need them; cached until a member changes, as it is read
 * often.
 */
interface MemberView {
  /**
   * All known members, including dead ones and those that have left. The view is built anew when the
   * membership returns another array for this or for `present`.
   */
  readonly known: readonly Member[];
  /** Members that are alive, suspected to be dead, or leaving. */
  readonly present: readonly Member[];
  /** Those of them that are alive and not leaving. */
  readonly serving: readonly Member[];
  /** Ids of visible members, without this node. */
  readonly visible: readonly string[];
  /** Ids of members that announced that they are leaving or have left. */
  readonly departed: readonly string[];
  /** IP addresses of known members. */
  readonly hosts: ReadonlySet<string>;
  /** By the pool's name: see {@link Cluster.candidates}. */
  readonly candidates: Map<string, readonly string[]>;
}

/** What a node publishes about requests during which backends crashed, by their fingerprints. */
export interface PublishedQuarantine {
  readonly quarantined: readonly QuarantinedRequest[];
  /** Requests that are quarantined if another backend crashes before one has completed them. */
  readonly suspects: readonly string[];
  readonly lifted: readonly LiftedQuarantine[];
}

/** The other nodes, as this one sees them. */
export class Cluster implements LeadershipPeers, DirectoryCluster {
  readonly #options: ClusterOptions;
  readonly #membership: Membership;
  readonly #records: PeerRecordReader;
  readonly #visibility: PeerVisibility;
  readonly #addresses = new Set<SocketAddress>();
  readonly #unread: UnreadLog;
  /** Notified when a member, or a record that a member published, changes. */
  readonly changed = new Notifier();
  #changes = 0;
  #view: MemberView | undefined;
  #firstPeerAtMs: number | undefined;
  #nodeCount = 1;
  #nodeCountAtMs = 0;
  #leaving = false;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.#records = new PeerRecordReader(options.telemetry);
    this.#unread = new UnreadLog(options.telemetry);
    this.#visibility = new PeerVisibility(options.clock, options.nodeId, ALONE_AFTER_MS);
    const { peerAddress, frontAddress } = options;
    this.#membership = new Membership({
      identity: {
        id: options.nodeId,
        zone: options.zone,
        region: options.region,
        gossip: peerAddress,
        peerUrl: peerAddress,
        callerUrl: frontAddress,
        processToken: options.processToken,
        capacity: options.capacity,
      },
      transport: options.transport,
      clock: options.clock,
      random: options.random,
      telemetry: options.telemetry,
      events: {
        onMember: (member) => this.#remember(member),
        onRecord: ({ key }) => {
          this.#recordChange();
          if (key === QUARANTINE_KEY || key === LIFTED_KEY) options.onQuarantine();
        },
        onRevision: ({ peerUrl, zone }, revision) => {
          const address = parseSocketAddress(peerUrl);
          if (address !== undefined) options.onPeerVersion(address, revision, zone);
        },
      },
      seeds: () => [...options.seeds(), ...this.#addresses],
      revision: options.configurationVersion,
      timing: TIMING,
    });
  }

  get selfId(): string {
    return this.#options.nodeId;
  }

  /** Distinguishes this process from others of the same node before and after it. */
  get processToken(): string {
    return this.#options.processToken;
  }

  start(): void {
    this.#membership.start();
  }

  /** Re-evaluates the members; call it a few times a second. */
  update(): void {
    const nowMs = this.#options.clock.now();
    const { present, visible, departed } = this.#members();
    this.#visibility.update(visible, departed);
    const count = present.length;
    if (count >= this.#nodeCount || nowMs - this.#nodeCountAtMs > NODE_COUNT_WINDOW_MS) {
      this.#nodeCount = count;
      this.#nodeCountAtMs = nowMs;
    }
  }

  /** Probes a peer now instead of in its turn, because it did not respond when it should have. */
  checkPeer(peerAddress: string): void {
    this.#membership.probeNow(peerAddress);
  }

  /** Reports that a peer's machine refused a connection, so no process listens there. */
  peerRefused(peerAddress: string): void {
    this.#membership.reportConnectionRefused(peerAddress);
  }

  /** Announces to the others that this node takes no new work. */
  drain(): void {
    this.#leaving = true;
    this.#membership.drain();
  }

  leave(): void {
    this.#membership.leave();
  }

  stop(): void {
    this.#membership.stop();
  }

  /** Number of changes so far of members and of their published records. */
  get changes(): number {
    return this.#changes;
  }

  #recordChange(): void {
    this.#changes += 1;
    this.changed.notify();
  }

  /** Time since this node first met another one, in milliseconds; 0 if it has met none. */
  get sinceFirstPeerMs(): number {
    return this.#firstPeerAtMs === undefined ? 0 : this.#options.clock.now() - this.#firstPeerAtMs;
  }

  /** Number of nodes among which shared budgets are divided. */
  get nodeCount(): number {
    return this.#nodeCount;
  }

  /** Members considered to be serving, including this node unless it is stopping. */
  serving(): readonly Member[] {
    return this.#members().serving;
  }

  /** Undefined also for a member that announces no valid address. */
  peerAddress(id: string): SocketAddress | undefined {
    return parseSocketAddress(this.#membership.get(id)?.peerUrl ?? '');
  }

  /** Whether a member, possibly one that has left, announces this IP address for its peers. */
  hasMemberAt(host: string): boolean {
    return this.#members().hosts.has(host);
  }

  zoneOf(id: string): string | undefined {
    return this.#membership.get(id)?.zone;
  }

  /** The process that currently runs as a member, as far as it is known. */
  processOf(id: string): { readonly token: string; readonly state: MemberState } | undefined {
    const member = this.#membership.get(id);
    return member === undefined ? undefined : { token: member.processToken, state: member.state };
  }

  /** Peer addresses of members that respond, without those that announce no valid one. */
  peerAddresses(): SocketAddress[] {
    return this.serving()
      .filter((member) => member.id !== this.selfId)
      .flatMap((member) => parseSocketAddress(member.peerUrl) ?? []);
  }

  /**
   * Nodes with the highest capacity come first, as a leader's work grows with the size of the fleet. Among
   * equals those whose process was restarted come first: during a rolling restart they are not restarted
   * again. The order is the same on all nodes.
   */
  candidates(pool: string): readonly string[] {
    const { candidates, serving } = this.#members();
    const known = candidates.get(pool);
    if (known !== undefined) return known;
    const ranked = rankCandidates(pool, serving);
    candidates.set(pool, ranked);
    return ranked;
  }

  claims(pool: string): readonly PoolClaim[] {
    const claims: PoolClaim[] = [];
    for (const { member, value } of this.publishedRecords(peerRecords.claim, CLAIM_PREFIX + pool)) {
      const { state } = member;
      if (member.id === this.selfId || (state !== 'alive' && state !== 'suspect')) continue;
      claims.push({ memberId: member.id, epoch: value.epoch });
    }
    return claims;
  }

  /** Ids of members that report being overloaded. */
  busy(): ReadonlySet<string> {
    return new Set([...this.publishedRecords(peerRecords.busy, BUSY_KEY)].map(({ member }) => member.id));
  }

  publishBusy(busy: boolean): void {
    const value: BusyRecord | null = busy ? { token: this.#options.processToken } : null;
    this.#membership.publish(BUSY_KEY, value);
    this.#membership.gossipNow();
  }

  publishQuarantine({ quarantined, suspects, lifted }: PublishedQuarantine): void {
    const value: QuarantineRecord = {
      quarantined: quarantined.map(({ fingerprint, ageMs, episode = 1 }) => {
        const entry: [string, number] = [fingerprint, Math.round(ageMs / SECOND_MS)];
        return episode === 1 ? entry : [...entry, episode];
      }),
      suspects: [...suspects],
    };
    this.#membership.publish(QUARANTINE_KEY, value);
    if (lifted.length > 0) {
      const record: LiftedQuarantinesRecord = {
        lifted: lifted.map(({ fingerprint, episode }) => [fingerprint, episode]),
      };
      this.#membership.publish(LIFTED_KEY, record);
    }
    this.#membership.gossipNow();
  }

  /**
   * What other nodes published about requests that are kept from backends; it stays valid when its node has
   * stopped or restarted.
   */
  *quarantines(): Iterable<PublishedQuarantine> {
    for (const record of this.#membership.records()) {
      if (record.owner === this.selfId) continue;
      if (record.key === QUARANTINE_KEY) {
        const value = this.#records.read(peerRecords.quarantine, record);
        if (value === undefined) continue;
        const quarantined = value.quarantined.map(readQuarantined);
        yield { quarantined, suspects: value.suspects, lifted: [] };
      } else if (record.key === LIFTED_KEY) {
        const value = this.#records.read(peerRecords.liftedQuarantines, record);
        if (value === undefined) continue;
        const lifted = value.lifted.map(([fingerprint, episode]) => ({ fingerprint, episode }));
        yield { quarantined: [], suspects: [], lifted };
      }
    }
  }

  /**
   * Records that currently running processes published under a key; those of a process before a restart are
   * out of date.
   */
  *publishedRecords<T extends { readonly token: string }>(
    schema: z.ZodType<T>,
    key: string,
  ): Iterable<{ member: Member; value: T }> {
    for (const record of this.#membership.records()) {
      if (record.key !== key) continue;
      const value = this.#records.read(schema, record);
      const member = this.#membership.get(record.owner);
      if (value !== undefined && member?.processToken === value.token) yield { member, value };
    }
  }

  /** Publishes a value of this process to all nodes at once; null withdraws it. */
  publishRecord<T extends { readonly token: string }>(key: string, value: T | null): void {
    this.#membership.publish(key, value);
    this.#recordChange();
    this.#membership.gossipNow();
  }

  publishClaim(pool: string, epoch: number | undefined): void {
    const claim: ClaimRecord | null =
      epoch === undefined ? null : { epoch, token: this.#options.processToken };
    this.#membership.publish(CLAIM_PREFIX + pool, claim);
    this.#membership.gossipNow();
  }

  askForMissedRecords(): void {
    const others = this.#members().visible;
    const asked = new Set(Array.from({ length: MEMBERS_ASKED }, () => this.#options.random.pick(others)));
    this.#membership.startComparisonWith([...asked].filter((id) => id !== undefined));
  }

  seesMost(): boolean {
    return !this.#leaving && this.#visibility.seesMost();
  }

  /**
   * Numbers of visible members, without this node, and of members that were visible recently and no longer
   * are, for log lines.
   */
  get visibilityCounts(): { readonly visible: number; readonly lost: number } {
    return { visible: this.#visibility.visible.size, lost: this.#visibility.lost.length };
  }

  /** Whether this node may be cut off without knowing it: see {@link PeerVisibility.mayBeCutOff}. */
  get mayBeCutOff(): boolean {
    return this.#visibility.mayBeCutOff;
  }

  /** How long this node may have been cut off from all others: see {@link PeerVisibility.isolatedMs}. */
  get isolatedMs(): number | undefined {
    return this.#visibility.isolatedMs;
  }

  /** Members that were visible recently, no longer are, and did not announce that they leave. */
  lostMembers(): readonly string[] {
    return this.#visibility.lost;
  }

  /** Members that were visible recently, including those that no longer are, without this node. */
  recentMembers(): readonly string[] {
    return [...this.#visibility.visible, ...this.#visibility.lost];
  }

  /** Asks members whether they are reachable; returns those that answered in time. */
  findReachable(ids: readonly string[], timeoutMs: number): Promise<string[]> {
    return this.#membership.findReachable(ids, timeoutMs);
  }

  /** Learns from members what this node missed while it was unreachable. */
  catchUpWith(ids: readonly string[]): void {
    this.#membership.startComparisonWith(ids);
  }

  /** Whether every member that was seen recently is visible. */
  seesAll(): boolean {
    return !this.#leaving && this.#visibility.seesAll();
  }

  #members(): MemberView {
    const known = this.#membership.knownMembers();
    const present = this.#membership.present();
    if (this.#view?.known !== known || this.#view.present !== present) {
      this.#view = this.#viewOf(known, present);
    }
    return this.#view;
  }

  #viewOf(known: readonly Member[], present: readonly Member[]): MemberView {
    const others = present.filter((member) => member.id !== this.selfId);
    const visible = others.filter((member) => member.state !== 'suspect').map((member) => member.id);
    const departed = known
      .filter((member) => member.state === 'left' || member.state === 'draining')
      .map((member) => member.id);
    const serving = present.filter((member) => member.state === 'alive');
    const addresses = known.flatMap((member) => parseSocketAddress(member.peerUrl) ?? []);
    const hosts = new Set(addresses.map((address) => splitSocketAddress(address).host));
    return { known, present, serving, visible, departed, hosts, candidates: new Map() };
  }

  /**
   * Keeps every address ever seen as one to contact, since the seeds alone may not lead back to the fleet
   * after a partition.
   */
  #remember(member: Member): void {
    this.#firstPeerAtMs ??= this.#options.clock.now();
    this.#recordChange();
    this.#reportUnusableAddresses(member);
    const address = parseSocketAddress(member.gossip);
    if (address === undefined) return;
    if (member.state === 'left') this.#addresses.delete(address);
    else if (this.#addresses.size < MAX_REMEMBERED_ADDRESSES) this.#addresses.add(address);
  }

  /** Such a member is left out wherever that address is needed. */
  #reportUnusableAddresses({ id, gossip, peerUrl, callerUrl }: Member): void {
    for (const [field, address] of Object.entries({ gossip, peerUrl, callerUrl }))
      if (parseSocketAddress(address) === undefined)
        this.#unread.warn('peer.address-unread', id, { field, address });
  }
}

function rankCandidates(pool: string, serving: readonly Member[]): string[] {
  return serving
    .map(({ id, processToken, capacity }) => ({
      id,
      capacity,
      restarted: processToken.startsWith(RESTARTED_PREFIX),
      score: hashSeed(`${pool}/${id}`),
    }))
    .sort(
      (a, b) =>
        b.capacity - a.capacity ||
        Number(b.restarted) - Number(a.restarted) ||
        b.score - a.score ||
        (a.id < b.id ? -1 : 1),
    )
    .map((entry) => entry.id);
}

/** A number in the third place is the episode; what a later build may put there otherwise is ignored. */
function readQuarantined([
  fingerprint,
  ageSeconds,
  episode,
]: QuarantineRecord['quarantined'][number]): QuarantinedRequest {
  const request = { fingerprint, ageMs: ageSeconds * SECOND_MS };
  return typeof episode === 'number' ? { ...request, episode } : request;
}
