import { socketAddress } from '@canvasridge/addresses';
import { VirtualClock } from '@canvasridge/clock';
import { BackendListUpdater, FleetState, type BackendDescription } from '@canvasridge/serving';
import { StateFollower } from '../src/index.js';
import { BARE_CONFIGURATION, NOTHING_WAITS, followerOptions } from './follower-options.js';

/** Time within which a leaving backend must stop receiving requests, as in the large deployments. */
export const DRAIN_MS = 3000;
/** A removal that may only be an expired entry takes effect this long after the store is back. */
export const RETURN_MS = 2000;
/** Time between two heartbeats of a backend. */
export const HEARTBEAT_MS = 1200;
const READERS = 6;
const NODES = 40;
/** Time between two reads of the store. */
export const READ_PERIOD_MS = 500;

export function backend(id: string, state: 'ready' | 'draining' = 'ready'): BackendDescription {
  return { id, service: 'llm', address: socketAddress('10.0.0.1:1'), zone: 'z', state, slots: 4, models: [] };
}

interface StoreEvent {
  readonly revision: number;
  readonly id: string;
  /** Undefined for a removal. */
  readonly value: BackendDescription | undefined;
}

/** A node that reads the store. */
class Reader {
  readonly state = new FleetState();
  readonly listUpdater: BackendListUpdater;
  /** Whether the store is reachable; if not, the node does not notice until its calls time out. */
  connected = true;
  /** How long an answer of the store waits until the node has CPU time to process it. */
  processingDelayMs = 0;
  #revision = 0;

  constructor(
    clock: VirtualClock,
    readonly node: (state: FleetState) => StateFollower,
  ) {
    this.listUpdater = new BackendListUpdater({
      fleet: this.state,
      clock,
      heartbeatMs: HEARTBEAT_MS,
      listAgeMs: () => this.follower.listAgeMs,
      onRemovalDeferred: () => undefined,
      onListedAgain: () => undefined,
    });
    this.state.applyConfiguration(BARE_CONFIGURATION);
    this.follower = node(this.state);
  }

  readonly follower: StateFollower;

  /** Applies an answer that the store made at this time. */
  read(events: readonly StoreEvent[], asOfMs: number): void {
    if (!this.connected) return;
    this.listUpdater.beginUpdate();
    for (const event of events.filter(({ revision }) => revision > this.#revision)) {
      if (event.value === undefined) this.listUpdater.remove(event.revision, event.id);
      else this.state.applyBackend(event.revision, event.value);
      this.#revision = event.revision;
    }
    this.state.advanceBackendsRevision(this.#revision);
    this.follower.onStoreAnswered(asOfMs);
  }
}

/** A store, six nodes that read it, and one of 40 nodes that follows them, in virtual time. */
export class FollowedFleet {
  readonly clock = new VirtualClock();
  readonly own = new FleetState();
  readonly readers: readonly Reader[];
  readonly follower: StateFollower;
  readonly #events: StoreEvent[] = [];
  readonly #ids = Array.from({ length: NODES }, (_, index) => `node-${index}`);

  constructor() {
    this.readers = Array.from(
      { length: READERS },
      (_, index) =>
        new Reader(this.clock, (state) => new StateFollower(this.#options(`node-${index}`, state))),
    );
    this.follower = new StateFollower(this.#options(this.#ids.at(-1) ?? '', this.own));
    this.own.applyConfiguration(BARE_CONFIGURATION);
    for (const [index, reader] of this.readers.entries()) void this.#keepReading(reader, index);
  }

  /** Publishes an entry now; `value` is undefined for a removal. */
  publish(revision: number, id: string, value: BackendDescription | undefined): void {
    this.#events.push({ revision, id, value });
  }

  /** Waits until all nodes know what was published, then starts the follower. */
  async settle(): Promise<void> {
    await this.clock.runUntil(READ_PERIOD_MS);
    this.own.applyListing(this.readers[0]?.state.listing() ?? this.own.listing());
    this.follower.start();
    await this.clock.runUntil(2 * READ_PERIOD_MS);
  }

  /** Readers read at different times. */
  async #keepReading(reader: Reader, index: number): Promise<void> {
    await this.clock.sleep(index);
    for (;;) {
      const answer = [...this.#events];
      const answeredMs = this.clock.now();
      if (reader.processingDelayMs > 0) await this.clock.sleep(reader.processingDelayMs);
      reader.read(answer, answeredMs);
      await this.clock.sleep(READ_PERIOD_MS);
    }
  }

  #options(selfId: string, fleet: FleetState): ConstructorParameters<typeof StateFollower>[0] {
    const readerOf = (address: string): Reader | undefined => this.readers[this.#ids.indexOf(address)];
    return followerOptions({
      clock: this.clock,
      fleet,
      ids: this.#ids,
      selfId,
      drainMs: DRAIN_MS,
      answer: (address, known) => readerOf(address)?.follower.answer(known, NOTHING_WAITS),
    });
  }
}
