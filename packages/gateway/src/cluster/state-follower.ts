import { Notifier, type Clock } from '@canvasridge/clock';
import type { BackendListing, FleetState, OperatorState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import { hasRoom, type WaitingBytes } from './configuration-parts.js';
import type { ConfigurationFreshness, ToldConfiguration } from './configuration-freshness.js';
import type { DepartureBudget } from './departure-budget.js';
import type { PeerCaller } from './peer-caller.js';

export const FOLLOW_METHOD = 'fleet.follow';

/** Params of {@link FOLLOW_METHOD}: what the asking node holds of the published state. */
export interface FollowRequest {
  /** Era of both revisions; absent from a build that reads none. */
  readonly era?: number | undefined;
  readonly backendsRevision: number;
  /** See {@link FleetState.routingDigest}. */
  readonly routingDigest: number;
  readonly operatorRevision: number;
  /** See {@link FleetState.operatorDigest}. */
  readonly operatorDigest: number;
}

/** What a reader of the store tells a follower. The configuration itself is fetched in parts: `ConfigurationFetcher`. */
export interface FollowAnswer extends ToldConfiguration {
  /** Era of the revisions; see {@link FollowRequest}. */
  readonly era?: number | undefined;
  /** Time since the reader last heard from the store, in milliseconds; absent if it does not read it. */
  readonly ageMs?: number;
  /** Revision up to which the reader's list of backends is complete. */
  readonly backendsRevision: number;
  /** Present if the follower's list differs and is not newer. */
  readonly listing?: BackendListing;
  /** Present if what the follower holds differs and is not newer. */
  readonly operatorState?: OperatorState;
  /** So much waits to be sent to the follower that nothing was added: the answer says nothing of what the reader holds. */
  readonly withheld?: true;
}

/** Fleets up to this many nodes read the store on each of them. */
const SMALL_FLEET = 16;
/** Nodes that read the store for all others of a larger fleet. */
const READERS = 6;
/**
 * An answer that is on its way is waited for so long, and its reader not asked again meanwhile: what is made anew for each
 * question fills the link on which the answer before is still coming. Other readers are asked after a hedge.
 */
const CALL_TIMEOUT_MS = 1000;
/** A node that has just started knows after this time how large the fleet is. */
const DECIDED_AFTER_MS = 700;
/** A sender does not wait for readers longer than so many hedges. */
const SENDER_WAIT_HEDGES = 2;

export interface StateFollowerOptions {
  readonly clock: Clock;
  readonly fleet: FleetState;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
  readonly selfId: string;
  /** Largest number of nodes seen of late. */
  readonly nodeCount: () => number;
  /** Members that serve, ranked alike on all nodes. */
  readonly ranked: () => readonly string[];
  readonly peerAddress: (id: string) => string | undefined;
  /** Zone of a member, this node included. */
  readonly zoneOf: (id: string) => string | undefined;
  /** Whether this node hands out slots or is next to do so, and so needs the whole list. */
  readonly needsWholeState: () => boolean;
  readonly budget: DepartureBudget;
  readonly freshness: ConfigurationFreshness;
  /** A reader has this version of the configuration in force. */
  readonly onConfigurationOffered: (version: number, address: string, isNear: boolean) => void;
}

/**
 * Decides which nodes read the published state from its store, and keeps the others up to date by asking
 * those. The store bounds its calls over all nodes, so in a large fleet a few read and the rest follow them.
 * A follower goes by how old a reader's list is, and reads itself when it finds none that is recent.
 */
export class StateFollower {
  readonly #options: StateFollowerOptions;
  readonly #readingBegun = new Notifier();
  #heardMs = -Infinity;
  /** Moment up to which the list of backends is known to be complete, on this node's clock. */
  #completeMs = -Infinity;
  #startedMs: number;
  #reading = true;
  #next = 0;
  /** Questions that are not answered yet, by the reader's id. */
  readonly #open = new Map<string, Promise<void>>();
  #lastReaders: { readonly ranked: readonly string[]; readonly readers: readonly string[] } | undefined;
  #refreshing: Promise<void> | undefined;
  #refreshedMs = -Infinity;
  #stopped = false;

  constructor(options: StateFollowerOptions) {
    this.#options = options;
    this.#startedMs = options.clock.now();
    this.#next = options.selfId.length;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Whether this node reads the store itself at present. */
  get reads(): boolean {
    return this.#reading;
  }

  /** Resolves once this node reads the store itself. */
  async untilReading(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#reading || this.#undecidedMs() > 0) {
      if (this.#reading) await this.#readingBegun.waitUpTo(clock, this.#undecidedMs());
      else await this.#readingBegun.wait();
    }
  }

  /**
   * How long this node still reads nothing more than the whole state once, in milliseconds: until it has met the others,
   * it does not know whether it is one of the readers, and each call counts at the store.
   */
  #undecidedMs(): number {
    const { clock, fleet } = this.#options;
    const isWhole = fleet.routes !== undefined && fleet.isListKnown;
    return isWhole ? this.#startedMs + DECIDED_AFTER_MS - clock.now() : 0;
  }

  /** Whether this node reads the store only since it finds no reader whose list is recent. */
  get isOrphan(): boolean {
    const { selfId, needsWholeState } = this.#options;
    return this.#reading && this.isLarge && !this.#readers().includes(selfId) && !needsWholeState();
  }

  /** Whether a few nodes read the store for the others. */
  get isLarge(): boolean {
    return this.#options.nodeCount() > SMALL_FLEET;
  }

  /**
   * The store answered this node.
   * @param asOfMs moment at which the list was complete, not that in which this node worked on the answer: a node that
   *   others follow and that gets no processor time would vouch for what it has not read yet
   */
  heard(asOfMs: number): void {
    this.#heardMs = Math.max(this.#heardMs, asOfMs);
    this.#completeMs = Math.max(this.#completeMs, asOfMs);
  }

  /** How old the list of backends is: a backend may have said since then that it leaves. Infinite if none is known. */
  get listAgeMs(): number {
    return this.#options.clock.now() - this.#completeMs;
  }

  /** Answers a follower. */
  answer(known: FollowRequest, waiting: WaitingBytes): FollowAnswer {
    const { clock, fleet, freshness } = this.#options;
    const { era, backendsRevision } = fleet;
    const configuration = freshness.told;
    if (!hasRoom(waiting)) return { era, backendsRevision, ...configuration, withheld: true };
    const hasListing =
      fleet.routingDigest !== known.routingDigest &&
      fleet.backendsReach({ era: known.era, revision: known.backendsRevision });
    const hasOperatorState =
      fleet.operatorDigest !== known.operatorDigest &&
      fleet.operatorReaches({ era: known.era, revision: known.operatorRevision });
    const ageMs = clock.now() - this.#heardMs;
    return {
      ...(this.#reading && Number.isFinite(ageMs) ? { ageMs: Math.ceil(ageMs) } : {}),
      era,
      backendsRevision,
      ...configuration,
      ...(hasListing ? { listing: fleet.listing() } : {}),
      ...(hasOperatorState ? { operatorState: fleet.operatorState() } : {}),
    };
  }

  /**
   * Whether a request that is about to be written has to wait for the readers once more. Not if they were asked a moment ago:
   * where none knows more, the list stands.
   */
  get isListTooOld(): boolean {
    const { clock, budget } = this.#options;
    const wasAsked = clock.now() - this.#refreshedMs < budget.lastLookMs - budget.sendAgeMs;
    return this.isLarge && this.listAgeMs > budget.lastLookMs && !wasAsked;
  }

  /**
   * Before a request is sent: if the list is so old that a backend may have left unnoticed for too long, asks all
   * readers and waits a moment for them. Where none knows more, as while the store is away, the list stands.
   */
  async refreshIfOld(): Promise<void> {
    const { clock, budget } = this.#options;
    if (!this.isLarge || this.listAgeMs <= budget.sendAgeMs) return;
    if (this.#refreshing === undefined && clock.now() - this.#refreshedMs < budget.hedgeMs) return;
    this.#refreshing ??= this.#refresh();
    await this.#refreshing;
  }

  async #refresh(): Promise<void> {
    const { clock, budget, selfId } = this.#options;
    const readers = this.#readers().filter((id) => id !== selfId);
    const answered = Promise.all(readers.map((id) => this.#ask(id)));
    await Promise.race([answered, clock.sleep(SENDER_WAIT_HEDGES * budget.hedgeMs)]);
    this.#refreshedMs = clock.now();
    this.#refreshing = undefined;
  }

  async #run(): Promise<void> {
    const { clock, budget } = this.#options;
    while (!this.#stopped) {
      const readers = this.#readers();
      if (this.#mustAsk(readers)) await this.#round(readers.filter((id) => id !== this.#options.selfId));
      this.#setReading(this.#mustRead(readers));
      await clock.sleep(budget.pollMs);
    }
  }

  /** The first ones ranked, but one of each zone before a second one of any: lists are long, and ways between zones dear. */
  #readers(): readonly string[] {
    const ranked = this.#options.ranked();
    if (this.#lastReaders?.ranked !== ranked) {
      const { zoneOf } = this.#options;
      const zones = ranked.map((id) => zoneOf(id));
      const firstOfZone = ranked.filter((_, index) => zones.indexOf(zones[index]) === index);
      const others = ranked.filter((id) => !firstOfZone.includes(id));
      this.#lastReaders = { ranked, readers: [...firstOfZone, ...others].slice(0, READERS) };
    }
    return this.#lastReaders.readers;
  }

  /** Readers in the order in which a follower asks them: those of its own zone first, each kind in turn. */
  #inOrder(readers: readonly string[]): readonly string[] {
    const { selfId, zoneOf } = this.#options;
    this.#next += 1;
    const zone = zoneOf(selfId);
    const near = readers.filter((id) => zoneOf(id) === zone);
    const far = readers.filter((id) => zoneOf(id) !== zone);
    return [...rotated(near, this.#next), ...rotated(far, this.#next)];
  }

  #mustRead(readers: readonly string[]): boolean {
    const { selfId, fleet, needsWholeState, budget, clock } = this.#options;
    if (!this.isLarge || readers.includes(selfId) || needsWholeState()) return true;
    if (fleet.routes === undefined || !fleet.isListKnown) return true;
    const ageMs = Math.min(this.listAgeMs, clock.now() - this.#startedMs);
    return ageMs > budget.orphanedAgeMs;
  }

  /** Followers ask readers; so does a reader of a large fleet that the store turns away, as others may be served. */
  #mustAsk(readers: readonly string[]): boolean {
    const { selfId, budget } = this.#options;
    if (!this.isLarge) return false;
    return !readers.includes(selfId) || this.listAgeMs > budget.trustedAgeMs;
  }

  /** Asks readers one after another, until one tells news that is recent enough. A silent one is left behind. */
  async #round(readers: readonly string[]): Promise<void> {
    const { clock, budget } = this.#options;
    const completeBeforeMs = this.#completeMs;
    for (const reader of this.#inOrder(readers)) {
      if (this.#open.has(reader)) continue;
      const answered = this.#ask(reader);
      await Promise.race([answered, clock.sleep(budget.hedgeMs)]);
      const isNewer = this.#completeMs > completeBeforeMs;
      if (isNewer && this.listAgeMs <= budget.trustedAgeMs) return;
    }
  }

  /** Asks a reader, unless its answer to the question before is still on its way. */
  #ask(id: string): Promise<void> {
    const open = this.#open.get(id);
    if (open !== undefined) return open;
    const asked = this.#askOnce(id).finally(() => this.#open.delete(id));
    this.#open.set(id, asked);
    return asked;
  }

  async #askOnce(id: string): Promise<void> {
    const { network, fleet, clock, peerAddress } = this.#options;
    const address = peerAddress(id);
    if (address === undefined) return;
    const known: FollowRequest = {
      era: fleet.era,
      backendsRevision: fleet.backendsRevision,
      routingDigest: fleet.routingDigest,
      operatorRevision: fleet.operatorRevision,
      operatorDigest: fleet.operatorDigest,
    };
    const askedMs = clock.now();
    const reply = await network.to(address).call(FOLLOW_METHOD, known, CALL_TIMEOUT_MS);
    if (reply === undefined) return;
    const answer = reply as FollowAnswer;
    const { configurationVersion, configurationAgeMs = Infinity } = answer;
    this.#options.onConfigurationOffered(configurationVersion, address, this.#isNear(id));
    if (answer.operatorState !== undefined) fleet.applyOperatorState(answer.operatorState);
    // What a reader knows of an earlier era confirms nothing that was written in this one.
    if (!fleet.admitEra(answer.era)) return;
    this.#options.freshness.confirm(configurationVersion, askedMs - configurationAgeMs);
    if (answer.withheld !== true) this.#take(answer, known, askedMs);
  }

  #isNear(id: string): boolean {
    const { zoneOf, selfId } = this.#options;
    return zoneOf(id) === zoneOf(selfId);
  }

  #take(answer: FollowAnswer, known: FollowRequest, askedMs: number): void {
    const { fleet } = this.#options;
    const { listing, backendsRevision } = answer;
    const isBehind = known.era === fleet.era && backendsRevision < known.backendsRevision;
    if (listing !== undefined) fleet.applyListing(listing);
    // A reader that is not behind and sends no list holds the same one.
    else if (!isBehind) fleet.confirmBackends(backendsRevision);
    if (answer.ageMs !== undefined) this.#completeMs = Math.max(this.#completeMs, askedMs - answer.ageMs);
  }

  #setReading(reading: boolean): void {
    if (reading === this.#reading) return;
    this.#reading = reading;
    if (reading) this.#readingBegun.notify();
    this.#options.telemetry.event('info', 'store.reading', this.#options.selfId, {
      reading,
      nodes: this.#options.nodeCount(),
    });
  }
}

function rotated(ids: readonly string[], by: number): readonly string[] {
  const first = ids.length === 0 ? 0 : by % ids.length;
  return [...ids.slice(first), ...ids.slice(0, first)];
}
