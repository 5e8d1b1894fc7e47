import { socketAddress } from '@canvasridge/addresses';
import type { Random, VirtualClock } from '@canvasridge/clock';
import { BackendListUpdater, FleetState, type BackendDescription, type Revised } from '@canvasridge/serving';
import { StateFollower } from '../src/index.js';
import { BARE_CONFIGURATION, NOTHING_WAITS, followerOptions } from './follower-options.js';

/** Time within which a leaving backend must stop receiving requests. */
export const DRAIN_MS = 3000;
/** Time between two heartbeats of a backend; its entry is removed after three of them are missing. */
export const HEARTBEAT_MS = 1200;
const ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS;
const READERS = 6;
const READ_PERIOD_MS = 500;
const MAX_OUTAGE_MS = 4000;
const MAX_COPY_AGE_MS = 6000;
const MAX_REWRITE_DELAY_MS = 1500;
const SMALL_FLEET = 16;

export function backend(id: string, state: 'ready' | 'draining', slots = 4): BackendDescription {
  return { id, service: 'llm', address: socketAddress('10.0.0.1:1'), zone: 'z', state, slots, models: [] };
}

interface Write {
  readonly id: string;
  readonly revision: number;
  /** Undefined for a removal. */
  readonly value: BackendDescription | undefined;
}

/** The publishing store in virtual time: it can be unavailable, and be restored from a copy. */
export class RestoredStore {
  era = 1;
  isUnavailable = false;
  /** When it was last unavailable or restored. */
  lastTroubleMs = -Infinity;
  #writes: Write[] = [];
  /** The last write of each writer, even if the store lost it. */
  readonly #intended = new Map<string, BackendDescription | undefined>();
  readonly #clock: VirtualClock;
  readonly #random: Random;

  constructor(clock: VirtualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  get revision(): number {
    return this.#writes.at(-1)?.revision ?? 0;
  }

  /** Resolves once the store has accepted the write. */
  async write(id: string, value: BackendDescription | undefined): Promise<void> {
    while (this.isUnavailable) await this.#clock.sleep(100);
    this.#intended.set(id, value);
    this.#writes.push({ id, value, revision: this.revision + 1 });
  }

  after(revision: number): readonly Write[] {
    return this.#writes.filter((write) => write.revision > revision);
  }

  /** All entries that the store currently holds. */
  entries(): readonly Revised<BackendDescription>[] {
    const last = new Map(this.#writes.map((write) => [write.id, write]));
    return [...last.values()].flatMap(({ revision, value }) =>
      value === undefined ? [] : [{ revision, value }],
    );
  }

  /** Becomes unavailable for a moment and is restored from a copy; its writers write again what was lost. */
  async restore(isAlive: (id: string) => boolean): Promise<void> {
    const copy = [...this.#writes];
    await this.#clock.sleep(this.#random.next() * MAX_COPY_AGE_MS);
    this.isUnavailable = true;
    await this.#clock.sleep(this.#random.next() * MAX_OUTAGE_MS);
    this.#writes = copy;
    this.era += 1;
    this.isUnavailable = false;
    this.lastTroubleMs = this.#clock.now();
    for (const { value } of this.entries()) if (!isAlive(value.id)) void this.#expire(value.id, isAlive);
    for (const id of this.#random.shuffle([...this.#intended.keys()])) void this.#rewrite(id);
  }

  /** Repeats a writer's last write, if the store lacks it. */
  async #rewrite(id: string): Promise<void> {
    await this.#clock.sleep(this.#random.next() * MAX_REWRITE_DELAY_MS);
    const intended = this.#intended.get(id);
    const stored = this.entries().find(({ value }) => value.id === id)?.value;
    if (stored !== intended) await this.write(id, intended);
  }

  async #expire(id: string, isAlive: (id: string) => boolean): Promise<void> {
    await this.#clock.sleep(ENTRY_EXPIRY_MS);
    const isListed = this.entries().some(({ value }) => value.id === id);
    if (isListed && !isAlive(id)) await this.write(id, undefined);
  }
}

/**
 * A node that reads the store if the fleet is small or it is one of the readers, and follows readers
 * otherwise.
 */
export class RestoredNode {
  readonly state = new FleetState();
  readonly follower: StateFollower;
  readonly #listUpdater: BackendListUpdater;
  readonly #clock: VirtualClock;
  readonly #store: RestoredStore;
  #position: { readonly era: number; revision: number } | undefined;

  /**
   * @param nodes all simulated nodes of the fleet, including this one once it is created; the rest of `count`
   * does nothing
   */
  constructor(
    readonly index: number,
    nodes: readonly RestoredNode[],
    { clock, store, count }: { clock: VirtualClock; store: RestoredStore; count: number },
  ) {
    this.#clock = clock;
    this.#store = store;
    const ids = Array.from({ length: count }, (_, number) => `node-${number}`);
    this.follower = new StateFollower(
      followerOptions({
        clock,
        fleet: this.state,
        ids,
        selfId: `node-${index}`,
        drainMs: DRAIN_MS,
        answer: (address, known) => nodes[ids.indexOf(address)]?.follower.answer(known, NOTHING_WAITS),
      }),
    );
    this.#listUpdater = new BackendListUpdater({
      fleet: this.state,
      clock,
      heartbeatMs: HEARTBEAT_MS,
      listAgeMs: () => this.follower.listAgeMs,
      onRemovalDeferred: () => undefined,
      onListedAgain: () => undefined,
    });
    this.state.applyConfiguration(BARE_CONFIGURATION);
    const isReader = count <= SMALL_FLEET || index < READERS;
    this.follower.start();
    void this.#keepReading(isReader);
  }

  async #keepReading(isReader: boolean): Promise<void> {
    await this.#clock.sleep(this.index * 37);
    for (;;) {
      if ((isReader || this.follower.reads) && !this.#store.isUnavailable) this.#read();
      await this.#clock.sleep(READ_PERIOD_MS);
    }
  }

  #read(): void {
    const { era, revision } = this.#store;
    this.state.enterEra(era);
    this.#listUpdater.beginUpdate();
    if (this.#position?.era !== era) {
      this.#position = { era, revision };
      this.#listUpdater.replace(revision, this.#store.entries());
    } else {
      for (const write of this.#store.after(this.#position.revision)) this.#apply(write);
      this.#position.revision = revision;
      this.state.advanceBackendsRevision(revision);
    }
    this.follower.onStoreAnswered(this.#clock.now());
  }

  #apply({ revision, id, value }: Write): void {
    if (value === undefined) this.#listUpdater.remove(revision, id);
    else this.state.applyBackend(revision, value);
  }
}
