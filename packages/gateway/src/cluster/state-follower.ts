import type { Clock } from '@canvasridge/clock';
import type { BackendListing, FleetState, OperatorState } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';

export const FOLLOW_METHOD = 'fleet.follow';

/** Params of {@link FOLLOW_METHOD}: up to where the asking node knows the published state. */
export interface FollowRequest {
  readonly routingRevision: number;
  readonly operatorRevision: number;
  readonly configurationVersion: number;
}

/** What a reader of the store tells a follower. */
export interface FollowAnswer {
  /** Whether the reader heard from the store just now. */
  readonly fresh: boolean;
  /** Time since the reader last heard from the store, in milliseconds; absent if it never did. */
  readonly ageMs?: number;
  /** Present if the follower knows less. */
  readonly listing?: BackendListing;
  readonly operatorState?: OperatorState;
}

/** Fleets up to this many nodes read the store on each of them. */
const SMALL_FLEET = 16;
/** Nodes that read the store for all others of a larger fleet. */
const READERS = 6;
/** A reader that heard nothing from the store for this long may be cut off from it. */
const FRESH_MS = 2300;
const CALL_TIMEOUT_MS = 300;
/** Readers asked in one round, until one of them is fresh. */
const ASKED_IN_ROUND = 3;
/** A follower that found no fresh reader for this long reads the store itself. */
const ORPHANED_MS = 1500;

/** Calls other nodes. */
export interface PeerCaller {
  to(address: string): {
    /** Undefined if no answer came in time. */
    call(method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  };
}

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
  /** Whether this node hands out slots or is next to do so, and so needs the whole list. */
  readonly needsWholeState: () => boolean;
  /** Pause between two rounds of questions, in milliseconds. */
  readonly pollMs: number;
}

/**
 * Decides which nodes read the published state from its store, and keeps the others up to date by asking
 * those. The store bounds its calls over all nodes, so in a large fleet a few read and the rest follow them.
 * A follower trusts only readers that heard from the store just now, and reads itself when it finds none.
 */
export class StateFollower {
  readonly #options: StateFollowerOptions;
  #heardMs = -Infinity;
  /** Moment up to which the list of backends is known to be complete, on this node's clock. */
  #completeMs = -Infinity;
  #followedMs: number;
  #reading = true;
  #next = 0;
  #stopped = false;

  constructor(options: StateFollowerOptions) {
    this.#options = options;
    this.#followedMs = options.clock.now();
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

  /** The store answered this node. */
  heard(): void {
    this.#heardMs = this.#options.clock.now();
    this.#completeMs = this.#heardMs;
  }

  /** How old the list of backends is: a backend may have said since then that it leaves. Infinite if none is known. */
  get listAgeMs(): number {
    return this.#options.clock.now() - this.#completeMs;
  }

  /** Answers a follower. */
  answer(known: FollowRequest): FollowAnswer {
    const { clock, fleet } = this.#options;
    const fresh = this.#reading && clock.now() - this.#heardMs <= FRESH_MS;
    const hasListing = fleet.routingRevision > known.routingRevision;
    const hasOperatorState = fleet.operatorRevision > known.operatorRevision;
    return {
      fresh,
      ...(Number.isFinite(this.listAgeMs) ? { ageMs: Math.round(this.listAgeMs) } : {}),
      ...(hasListing ? { listing: fleet.listing() } : {}),
      ...(hasOperatorState ? { operatorState: this.#operatorState(known) } : {}),
    };
  }

  /** Without the configuration if the follower has it, as it may be large. */
  #operatorState(known: FollowRequest): OperatorState {
    const state = this.#options.fleet.operatorState();
    const isKnown = (state.configuration?.version ?? 0) <= known.configurationVersion;
    return isKnown ? { ...state, configuration: undefined } : state;
  }

  async #run(): Promise<void> {
    const { clock, pollMs } = this.#options;
    while (!this.#stopped) {
      const readers = this.#readers();
      if (!readers.includes(this.#options.selfId) && this.#isLarge()) await this.#round(readers);
      this.#setReading(this.#mustRead(readers));
      await clock.sleep(pollMs);
    }
  }

  #isLarge(): boolean {
    return this.#options.nodeCount() > SMALL_FLEET;
  }

  #readers(): readonly string[] {
    return this.#options.ranked().slice(0, READERS);
  }

  #mustRead(readers: readonly string[]): boolean {
    const { clock, selfId, fleet, needsWholeState } = this.#options;
    if (!this.#isLarge() || readers.includes(selfId) || needsWholeState()) return true;
    if (fleet.routes === undefined || fleet.backendsRevision === 0) return true;
    return clock.now() - this.#followedMs > ORPHANED_MS;
  }

  /** Asks readers in turn until one of them is fresh. */
  async #round(readers: readonly string[]): Promise<void> {
    for (let asked = 0; asked < Math.min(ASKED_IN_ROUND, readers.length); asked += 1) {
      this.#next = (this.#next + 1) % readers.length;
      if (await this.#ask(readers[this.#next] ?? '')) return;
    }
  }

  async #ask(id: string): Promise<boolean> {
    const { network, fleet, clock, peerAddress } = this.#options;
    const address = peerAddress(id);
    if (address === undefined) return false;
    const known: FollowRequest = {
      routingRevision: fleet.routingRevision,
      operatorRevision: fleet.operatorRevision,
      configurationVersion: fleet.configurationVersion,
    };
    const askedMs = clock.now();
    const reply = await network.to(address).call(FOLLOW_METHOD, known, CALL_TIMEOUT_MS);
    if (reply === undefined) return false;
    const answer = reply as FollowAnswer;
    this.#completeMs = Math.max(this.#completeMs, askedMs - (answer.ageMs ?? Infinity));
    if (answer.operatorState !== undefined) fleet.applyOperatorState(answer.operatorState);
    if (answer.listing !== undefined) fleet.applyListing(answer.listing);
    if (answer.fresh) this.#followedMs = clock.now();
    return answer.fresh;
  }

  #setReading(reading: boolean): void {
    if (reading === this.#reading) return;
    this.#reading = reading;
    this.#options.telemetry.event('info', 'store.reading', this.#options.selfId, {
      reading,
      nodes: this.#options.nodeCount(),
    });
  }
}
