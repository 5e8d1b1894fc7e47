import type { SocketAddress } from '@canvasridge/addresses';
import { Notifier, type Clock } from '@canvasridge/clock';
import type { BackendListing, FleetState, OperatorState } from '@canvasridge/serving';
import { keepRunning, runLogged, type Telemetry } from '@canvasridge/telemetry';
import type * as z from 'zod';
import { maySendLarge, type WaitingBytes } from './configuration-parts.js';
import type { ConfigurationFreshness, AdvertisedConfiguration } from './configuration-freshness.js';
import type { DepartureBudget } from './departure-budget.js';
import type { PeerCaller } from './peer-caller.js';
import { PeerLists } from './peer-lists.js';
import { followAnswer } from './published-protocol.js';

export const FOLLOW_METHOD = 'fleet.follow';

/** Params of {@link FOLLOW_METHOD}: what the requesting node holds of the published state. */
export interface FollowRequest {
  /**
   * Era of the store in which both revisions were assigned, which changes when the store is restored from a
   * copy; absent from a build that does not know eras.
   */
  readonly era?: number | undefined;
  readonly backendsRevision: number;
  /** See {@link FleetState.routingDigest}. */
  readonly routingDigest: number;
  readonly operatorRevision: number;
  /** See {@link FleetState.operatorDigest}. */
  readonly operatorDigest: number;
}

/**
 * Answer of a node that reads the store to a follower. The configuration itself is fetched in parts:
 * `ConfigurationFetcher`.
 */
export interface FollowAnswer extends AdvertisedConfiguration {
  /** Store era of the revisions; see {@link FollowRequest}. */
  readonly era?: number | undefined;
  /**
   * Time since the reader last heard from the store, in milliseconds; absent if it does not read the store.
   */
  readonly ageMs?: number;
  /** Revision up to which the reader's list of backends is complete. */
  readonly backendsRevision: number;
  /** Present if the follower's list differs and is not newer than the reader's. */
  readonly listing?: BackendListing;
  /** Present if the follower's operator state differs and is not newer than the reader's. */
  readonly operatorState?: OperatorState;
  /**
   * Set if so many bytes already wait to be sent to the follower that no state was added: the answer does not
   * tell what the reader holds.
   */
  readonly withheld?: true;
}

/** In fleets of up to this many nodes every node reads the store. */
const SMALL_FLEET = 16;
/** Number of nodes that read the store for all others in a larger fleet. */
const READERS = 6;
/**
 * An answer in transit is awaited for this long, and its reader not asked again meanwhile: answers are built
 * anew for each request, and would fill the link on which the previous answer is still arriving. Other
 * readers are asked after a hedge delay.
 */
const CALL_TIMEOUT_MS = 1000;
/** A node that has just started knows the size of the fleet after this time. */
const ROLE_KNOWN_AFTER_MS = 700;
/** A sender waits for readers at most this many hedge delays. */
const MAX_SENDER_WAIT_HEDGES = 2;

export interface StateFollowerOptions {
  readonly clock: Clock;
  readonly fleet: FleetState;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
  readonly selfId: string;
  /** Largest number of nodes seen recently. */
  readonly nodeCount: () => number;
  /** Members that serve, in a ranking that is the same on all nodes. */
  readonly ranked: () => readonly string[];
  readonly peerAddress: (id: string) => SocketAddress | undefined;
  /** Zone of a member, which may be this node. */
  readonly zoneOf: (id: string) => string | undefined;
  /** Whether this node leads a pool or is next to lead one, and so needs the whole list. */
  readonly needsWholeState: () => boolean;
  readonly budget: DepartureBudget;
  readonly freshness: ConfigurationFreshness;
  /** A reader has this version of the configuration in force. */
  readonly onConfigurationOffered: (version: number, address: SocketAddress, isSameZone: boolean) => void;
}

/** A question to a reader that is not answered yet. */
interface PendingAnswer {
  readonly askedMs: number;
  /** Never rejects. */
  readonly answered: Promise<unknown>;
}

/**
 * Decides which nodes read the published state from the store, and keeps the other nodes up to date by asking
 * those. The limit on calls to the store applies to all nodes together, so in a large fleet a few nodes read
 * it and the rest follow them. A follower checks how old a reader's list is, and reads the store itself when
 * it finds no reader whose list is recent.
 */
export class StateFollower {
  readonly #options: StateFollowerOptions;
  readonly #lists: PeerLists;
  readonly #readingBegun = new Notifier();
  #storeAnsweredMs = -Infinity;
  /** Time up to which the list of backends is known to be complete, on this node's clock. */
  #completeMs = -Infinity;
  #startedMs: number;
  #reading = true;
  /** Rises with each poll, so that the readers are asked in turn. */
  #rotation = 0;
  /** Requests that are not answered yet, by the reader's id. */
  readonly #pendingAnswers = new Map<string, PendingAnswer>();
  #cachedReaders: { readonly ranked: readonly string[]; readonly readers: readonly string[] } | undefined;
  #refreshing: Promise<void> | undefined;
  #refreshedMs = -Infinity;
  #stopped = false;

  constructor(options: StateFollowerOptions) {
    this.#options = options;
    this.#lists = new PeerLists(options.telemetry);
    this.#startedMs = options.clock.now();
    this.#rotation = options.selfId.length;
  }

  start(): void {
    keepRunning(this.#options, 'state-follower', () => this.#run());
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Whether this node reads the store itself at present. */
  get reads(): boolean {
    return this.#reading;
  }

  /** Resolves once this node reads the store itself. */
  async waitUntilReading(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#reading || this.#roleUndecidedMs() > 0) {
      if (this.#reading) await this.#readingBegun.waitUpTo(clock, this.#roleUndecidedMs());
      else await this.#readingBegun.wait();
    }
  }

  /**
   * How long this node still limits itself to one read of the whole state, in milliseconds: until it has met
   * the other nodes, it does not know whether it is one of the readers, and the store counts each call.
   */
  #roleUndecidedMs(): number {
    const { clock, fleet } = this.#options;
    const isWhole = fleet.routes !== undefined && fleet.isListKnown;
    return isWhole ? this.#startedMs + ROLE_KNOWN_AFTER_MS - clock.now() : 0;
  }

  /** Whether this node reads the store only because it finds no reader whose list is recent. */
  get isFallbackReader(): boolean {
    const { selfId, needsWholeState } = this.#options;
    return this.#reading && this.isLarge && !this.#readers().includes(selfId) && !needsWholeState();
  }

  /** Whether a few nodes read the store for all others. */
  get isLarge(): boolean {
    return this.#options.nodeCount() > SMALL_FLEET;
  }

  /**
   * Records that the store answered this node.
   * @param asOfMs time at which the list was complete, rather than when this node processed the answer: a
   * node that others follow but that gets no CPU time would otherwise vouch for entries that it has not
   * read yet
   */
  onStoreAnswered(asOfMs: number): void {
    this.#storeAnsweredMs = Math.max(this.#storeAnsweredMs, asOfMs);
    this.#completeMs = Math.max(this.#completeMs, asOfMs);
  }

  /**
   * Age of the list of backends: a backend may have announced its departure since then. Infinite if no list
   * is known.
   */
  get listAgeMs(): number {
    return this.#options.clock.now() - this.#completeMs;
  }

  /** Answers a request of a follower. */
  answer(known: FollowRequest, waiting: WaitingBytes): FollowAnswer {
    const { clock, fleet, freshness } = this.#options;
    const { era, backendsRevision } = fleet;
    const configuration = freshness.advertised;
    if (!maySendLarge(waiting)) return { era, backendsRevision, ...configuration, withheld: true };
    const hasListing =
      fleet.routingDigest !== known.routingDigest &&
      fleet.hasBackendsAsOf({ era: known.era, revision: known.backendsRevision });
    const hasOperatorState =
      fleet.operatorDigest !== known.operatorDigest &&
      fleet.hasOperatorStateAsOf({ era: known.era, revision: known.operatorRevision });
    const ageMs = clock.now() - this.#storeAnsweredMs;
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
   * Whether a request that is about to be written has to wait for the readers once more. Not if they were
   * asked a moment ago: if none of them knows more, the list is used as it is.
   */
  get isListTooOld(): boolean {
    const { clock, budget } = this.#options;
    const wasAsked = clock.now() - this.#refreshedMs < budget.finalCheckAgeMs - budget.sendAgeMs;
    return this.isLarge && this.listAgeMs > budget.finalCheckAgeMs && !wasAsked;
  }

  /**
   * Called before a request is sent: if the list is so old that a backend may have left unnoticed for too
   * long, asks all readers and waits a moment for them. If none of them knows more, as during a store outage,
   * the list is used as it is.
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
    // An answer to an older question may be as old as the time for which this process was held up.
    const answered = Promise.all(readers.map((id) => this.#ask(id, budget.hedgeMs)));
    try {
      await Promise.race([answered, clock.sleep(MAX_SENDER_WAIT_HEDGES * budget.hedgeMs)]);
    } finally {
      this.#refreshedMs = clock.now();
      this.#refreshing = undefined;
    }
  }

  async #run(): Promise<void> {
    const { clock, budget } = this.#options;
    while (!this.#stopped) {
      const readers = this.#readers();
      if (this.#mustPoll(readers))
        await this.#pollReaders(readers.filter((id) => id !== this.#options.selfId));
      this.#setReading(this.#mustRead(readers));
      await clock.sleep(budget.pollMs);
    }
  }

  /**
   * The nodes ranked first, but one of each zone before a second one of any: lists are long, and traffic
   * between zones is expensive.
   */
  #readers(): readonly string[] {
    const ranked = this.#options.ranked();
    if (this.#cachedReaders?.ranked !== ranked) {
      const { zoneOf } = this.#options;
      const zones = ranked.map((id) => zoneOf(id));
      const firstOfZone = ranked.filter((_, index) => zones.indexOf(zones[index]) === index);
      const others = ranked.filter((id) => !firstOfZone.includes(id));
      this.#cachedReaders = { ranked, readers: [...firstOfZone, ...others].slice(0, READERS) };
    }
    return this.#cachedReaders.readers;
  }

  /**
   * Readers in the order in which a follower asks them: those of its own zone first, rotated within each
   * group.
   */
  #askingOrder(readers: readonly string[]): readonly string[] {
    const { selfId, zoneOf } = this.#options;
    this.#rotation += 1;
    const zone = zoneOf(selfId);
    const sameZone = readers.filter((id) => zoneOf(id) === zone);
    const otherZones = readers.filter((id) => zoneOf(id) !== zone);
    return [...rotated(sameZone, this.#rotation), ...rotated(otherZones, this.#rotation)];
  }

  #mustRead(readers: readonly string[]): boolean {
    const { selfId, fleet, needsWholeState, budget, clock } = this.#options;
    if (!this.isLarge || readers.includes(selfId) || needsWholeState()) return true;
    if (fleet.routes === undefined || !fleet.isListKnown) return true;
    const ageMs = Math.min(this.listAgeMs, clock.now() - this.#startedMs);
    return ageMs > budget.fallbackReadAgeMs;
  }

  /**
   * Followers ask readers; so does a reader of a large fleet whose calls the store rejects, as other readers
   * may be served.
   */
  #mustPoll(readers: readonly string[]): boolean {
    const { selfId, budget } = this.#options;
    if (!this.isLarge) return false;
    return !readers.includes(selfId) || this.listAgeMs > budget.trustedAgeMs;
  }

  /**
   * Asks readers one after another, until an answer shows that the list was complete at a later time than
   * known before, and recently enough. A request that is not answered within the hedge delay is left pending.
   */
  async #pollReaders(readers: readonly string[]): Promise<void> {
    const { clock, budget } = this.#options;
    const completeBeforeMs = this.#completeMs;
    for (const reader of this.#askingOrder(readers)) {
      if (this.#pendingAnswers.has(reader)) continue;
      const answered = this.#ask(reader);
      await Promise.race([answered, clock.sleep(budget.hedgeMs)]);
      const isNewer = this.#completeMs > completeBeforeMs;
      if (isNewer && this.listAgeMs <= budget.trustedAgeMs) return;
    }
  }

  /** Asks a reader, unless its answer to a previous question is still pending that is not older than this. */
  #ask(id: string, maxPendingMs = Infinity): Promise<unknown> {
    const { clock, telemetry } = this.#options;
    const nowMs = clock.now();
    const pending = this.#pendingAnswers.get(id);
    if (pending !== undefined && nowMs - pending.askedMs <= maxPendingMs) return pending.answered;
    const answered = runLogged(telemetry, 'reader-question', () => this.#askOnce(id)).finally(() => {
      if (this.#pendingAnswers.get(id)?.answered === answered) this.#pendingAnswers.delete(id);
    });
    this.#pendingAnswers.set(id, { askedMs: nowMs, answered });
    return answered;
  }

  async #askOnce(id: string): Promise<void> {
    const { network, fleet, clock, peerAddress } = this.#options;
    const address = peerAddress(id);
    if (address === undefined) return;
    const known: FollowRequest = {
      era: fleet.era,
      backendsRevision: fleet.backendsRevision,
      routingDigest: this.#lists.expectedDigest(fleet, address),
      operatorRevision: fleet.operatorRevision,
      operatorDigest: fleet.operatorDigest,
    };
    const askedMs = clock.now();
    const reply = await network.to(address).call(FOLLOW_METHOD, known, CALL_TIMEOUT_MS);
    const answer = this.#lists.readAnswer(followAnswer, address, reply);
    if (answer === undefined) return;
    const { configurationVersion, configurationAgeMs = Infinity } = answer;
    this.#options.onConfigurationOffered(configurationVersion, address, this.#isInSameZone(id));
    if (answer.operatorState !== undefined) fleet.applyOperatorState(answer.operatorState);
    // A reader's state from an earlier era confirms nothing that was written in the current one.
    if (!fleet.admitEra(answer.era)) return;
    this.#options.freshness.confirm(configurationVersion, askedMs - configurationAgeMs);
    if (answer.withheld !== true) this.#applyAnswer(answer, address, known, askedMs);
  }

  #isInSameZone(id: string): boolean {
    const { zoneOf, selfId } = this.#options;
    return zoneOf(id) === zoneOf(selfId);
  }

  #applyAnswer(
    answer: z.infer<typeof followAnswer>,
    address: string,
    known: FollowRequest,
    askedMs: number,
  ): void {
    const { fleet } = this.#options;
    const { listing, backendsRevision } = answer;
    const isBehind = known.era === fleet.era && backendsRevision < known.backendsRevision;
    if (listing !== undefined)
      fleet.applyListing({ ...listing, backends: this.#lists.read(address, listing.backends) });
    // A reader that is not behind and sends no list holds the same one.
    else if (!isBehind) fleet.advanceBackendsRevision(backendsRevision);
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
