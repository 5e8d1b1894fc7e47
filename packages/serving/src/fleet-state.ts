import { AdapterVersions, type VersionSource } from './adapter-versions.js';
import { AnnouncedDepartures } from './announced-departures.js';
import type { BackendDescription } from './backend.js';
import type { ServingConfiguration } from './configuration.js';
import { DepartedBackends } from './departed-backends.js';
import type {
  AdapterVersion,
  BackendListing,
  FleetSnapshot,
  OperatorState,
  PublishedPoint,
  Revised,
} from './published.js';
import { NO_ERA, PublishingEra } from './publishing-era.js';
import { RouteTable } from './route-table.js';
import { routingContent } from './routing-content.js';
import { SetDigest } from './set-digest.js';

/** The part of the published state that has changed. */
export type FleetChange = 'configuration' | 'adapter-version' | 'backends';

type ChangeListener = (change: FleetChange) => void;

/**
 * A backend that must be sent no further requests: it is shutting down, or its entry was removed from the
 * list.
 */
export interface Departure {
  readonly id: string;
  readonly state: 'draining' | 'gone';
  /**
   * Revision of the publishing store with this change of the list; if the backend announced its shutdown
   * itself, the revision of the list known at that time.
   */
  readonly revision: number;
  readonly via: DepartureSource;
}

/**
 * Source of a departure: the published `list`, an `answer` of the backend to this node, or a `peer` that got
 * such an answer.
 */
export type DepartureSource = 'list' | 'answer' | 'peer';

type DepartureListener = (departure: Departure) => void;

/** Change of the publishing store's era, which happens when it is restored from a backup. */
export interface NewEra {
  /** `NO_ERA` if the store had not published one. */
  readonly from: number;
  readonly to: number;
}

type EraListener = (era: NewEra) => void;

/** Called with what a listener has thrown, and with what it was told of. */
export type ListenerFailure = (error: unknown, subject: string) => void;

const rethrow: ListenerFailure = (error) => {
  throw error;
};

/**
 * This node's view of the published state. It never goes back: of two configurations, adapter versions or
 * entries of a backend, the newer one is kept, whatever their source and order of arrival. All revisions
 * belong to one era of the publishing store; what was known from earlier eras counts as older than everything
 * read in this one.
 */
export class FleetState {
  readonly adapterVersions = new AdapterVersions();
  readonly #listeners: ChangeListener[] = [];
  readonly #departureListeners: DepartureListener[] = [];
  readonly #eraListeners: EraListener[] = [];
  readonly #backends = new Map<string, Revised<BackendDescription>>();
  readonly #backendsByService = new Map<string, BackendDescription[]>();
  #routes: RouteTable | undefined;
  readonly #departed = new DepartedBackends();
  readonly #announced = new AnnouncedDepartures();
  readonly #routingDigest = new SetDigest();
  readonly #era = new PublishingEra();
  readonly #onListenerFailure: ListenerFailure;
  #isListKnown = false;
  #backendsRevision = 0;
  #operatorRevision = 0;

  /**
   * @param onListenerFailure logs the error; the other listeners are called, and the change itself is applied
   */
  constructor(onListenerFailure: ListenerFailure = rethrow) {
    this.#onListenerFailure = onListenerFailure;
  }

  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Calls `listener` once when a backend is first found to be draining, and once when its entry is removed
   * from the list.
   */
  onDeparture(listener: DepartureListener): void {
    this.#departureListeners.push(listener);
  }

  /** Calls `listener` when a new era begins, so that the published state has to be read again. */
  onNewEra(listener: EraListener): void {
    this.#eraListeners.push(listener);
  }

  /**
   * Era of the publishing store to which the revisions here belong; `NO_ERA` if the store has not published
   * one.
   */
  get era(): number {
    return this.#era.current;
  }

  /**
   * Called with the era of the publishing store. In a new era, the list was restored from a backup and may
   * contain as ready both backends that have announced their shutdown and backends that had left. The former
   * keep counting as draining, and the latter count as draining until {@link endRestore}.
   */
  enterEra(to: number): void {
    const from = this.#era.current;
    const isFirst = from === NO_ERA && !this.#isListKnown;
    if (!this.#era.enter(to, isFirst) || isFirst) return;
    this.#backendsRevision = 0;
    this.#operatorRevision = 0;
    for (const [id, entry] of this.#backends) {
      if (entry.value.state === 'draining') this.#announced.add(id, (known) => this.#backends.has(known));
      this.#backends.set(id, { ...entry, revision: 0 });
    }
    this.#departed.beginEra();
    this.#call(this.#eraListeners, { from, to }, 'era');
  }

  /**
   * Enters the era of a peer's published state if it is newer.
   * @returns false if the peer's era is an earlier one, so that its state must not be applied
   */
  admitEra(era: number | undefined): boolean {
    const order = this.#era.compare(era);
    if (order > 0 && era !== undefined) this.enterEra(era);
    return order >= 0;
  }

  /**
   * Called when the entries of dead backends must have expired in the new era, so that all backends still
   * listed are alive.
   * @returns listed backends that had left before the era and may be used again
   */
  endRestore(): readonly string[] {
    const listed = this.#departed.endRestore().filter((id) => this.#backends.has(id));
    if (listed.length > 0) this.#updateIndex(this.#backendsRevision);
    return listed;
  }

  /** Whether the list of backends here is at least as new as `point`. */
  hasBackendsAsOf(point: PublishedPoint): boolean {
    return this.#isUpToDate(this.#backendsRevision, point);
  }

  /** Whether the entries written by operators that are known here are at least as new as `point`. */
  hasOperatorStateAsOf(point: PublishedPoint): boolean {
    return this.#isUpToDate(this.#operatorRevision, point);
  }

  #isUpToDate(ownRevision: number, { era, revision }: PublishedPoint): boolean {
    const order = this.#era.compare(era);
    return order < 0 || (order === 0 && ownRevision >= revision);
  }

  /** Whether the list of backends was ever read here or received from a peer. */
  get isListKnown(): boolean {
    return this.#isListKnown;
  }

  /** Routes of the configuration in force; undefined until one is known. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Version of the configuration in force, 0 if none is known. */
  get configurationVersion(): number {
    return this.#routes?.configuration.version ?? 0;
  }

  /** Revision as of which the list of backends is complete; 0 until it is known in this era. */
  get backendsRevision(): number {
    return this.#backendsRevision;
  }

  /**
   * Equal on two nodes that hold the same list of backends, as far as routing needs it. Revisions of the
   * store cannot tell that, as a deferred removal is applied later than entries written after it.
   */
  get routingDigest(): number {
    return this.#routingDigest.value;
  }

  /**
   * The routing digest of a node that holds the same list except for these entries.
   * @param contents by id: see {@link routingContent}
   */
  routingDigestWith(contents: ReadonlyMap<string, string>): number {
    return this.#routingDigest.valueWith(contents);
  }

  /**
   * Equal on two nodes that hold the same entries written by operators, except for the configuration, which
   * has a version.
   */
  get operatorDigest(): number {
    return this.adapterVersions.digest;
  }

  /** Revision of the newest known entry written by operators. */
  get operatorRevision(): number {
    return this.#operatorRevision;
  }

  /** Called when an entry written by operators at this revision was applied. */
  advanceOperatorRevision(revision: number): void {
    this.#operatorRevision = Math.max(this.#operatorRevision, revision);
  }

  backend(id: string): BackendDescription | undefined {
    const entry = this.#backends.get(id);
    return entry === undefined ? undefined : this.#effective(entry.value);
  }

  /** A backend as the list describes it, whatever else this node knows of it. */
  listedBackend(id: string): BackendDescription | undefined {
    return this.#backends.get(id)?.value;
  }

  /** Revision of a listed backend's entry. */
  entryRevision(id: string): number | undefined {
    return this.#backends.get(id)?.revision;
  }

  /** Whether a backend is shutting down or has left, so that it must be sent no further requests. */
  isLeaving(id: string): boolean {
    const hasDepartureNotice = this.#departed.has(id) || this.#announced.has(id);
    return hasDepartureNotice || this.#backends.get(id)?.value.state === 'draining';
  }

  /** Whether a backend has announced its shutdown itself. */
  hasAnnouncedShutdown(id: string): boolean {
    return this.#announced.has(id);
  }

  /**
   * Backends of a service that count as draining here although listed as ready, so that other nodes may not
   * know.
   */
  leavingBackendsListedReady(service: string): readonly string[] {
    if (this.#announced.isEmpty && !this.#departed.mayListDeparted) return [];
    const isListedReady = ({ id }: BackendDescription): boolean =>
      this.#isListedStateOverridden(id) && this.#backends.get(id)?.value.state === 'ready';
    return this.backendsOf(service)
      .filter(isListedReady)
      .map(({ id }) => id);
  }

  /**
   * Called when a backend has announced its shutdown: it counts as draining from now on, whatever the list
   * says.
   */
  recordAnnouncedShutdown(id: string, via: DepartureSource): void {
    if (this.#announced.has(id)) return;
    const wasLeaving = this.isLeaving(id);
    this.#announced.add(id, (known) => this.#backends.has(known));
    if (wasLeaving) return;
    this.#notifyDeparture({ id, state: 'draining', revision: this.#backendsRevision, via });
    this.#updateIndex(this.#backendsRevision);
  }

  /** Listed backends of a service, including those that are shutting down. */
  backendsOf(service: string): readonly BackendDescription[] {
    return this.#backendsByService.get(service) ?? [];
  }

  *allBackends(): Iterable<Revised<BackendDescription>> {
    for (const entry of this.#backends.values()) {
      const value = this.#effective(entry.value);
      yield value === entry.value ? entry : { ...entry, value };
    }
  }

  /** The published version of an adapter, 0 if none is known. */
  adapterVersion(model: string, adapter: string): number {
    return this.adapterVersions.get(model, adapter);
  }

  /** Applies a configuration if it is newer than the one in force. Returns whether it was applied. */
  applyConfiguration(configuration: ServingConfiguration): boolean {
    if (configuration.version <= this.configurationVersion) return false;
    this.#routes = new RouteTable(configuration);
    this.#notify('configuration');
    return true;
  }

  /** Applies a published version if it is newer than the known one. Returns whether it was applied. */
  applyAdapterVersion(published: AdapterVersion, source: VersionSource = 'state'): boolean {
    const isNewer = this.adapterVersions.apply(published, source);
    if (isNewer) this.#notify('adapter-version');
    return isNewer;
  }

  /** Applies an entry of the list if it is newer than what is known of the backend. */
  applyBackend(revision: number, value: BackendDescription): void {
    if (!this.#isNewer({ revision, value })) return;
    this.#storeEntry({ revision, value });
    this.#updateIndex(revision);
  }

  /** Removes a backend as of `revision`, unless its entry is newer. */
  removeBackend(revision: number, id: string): void {
    const known = this.#backends.get(id);
    if (known !== undefined && known.revision >= revision) return;
    if (known === undefined) this.#departed.record(id, revision);
    else {
      this.#removeEntry(id, revision);
      this.#updateIndex(revision);
    }
  }

  /** Applies the whole list as of `revision`: entries that it lacks are removed, unless they are newer. */
  replaceBackends(revision: number, entries: readonly Revised<BackendDescription>[]): void {
    if (revision < this.#backendsRevision) return;
    const listed = new Set(entries.map((entry) => entry.value.id));
    for (const [id, known] of this.#backends) {
      if (!listed.has(id) && known.revision <= revision) this.#removeEntry(id, revision);
    }
    for (const entry of entries) {
      if (this.#isNewer(entry)) this.#storeEntry(entry);
    }
    this.#updateIndex(revision);
  }

  /** Called when the list of backends is known to be complete as of `revision`. */
  advanceBackendsRevision(revision: number): void {
    this.#backendsRevision = Math.max(this.#backendsRevision, revision);
    this.#isListKnown ||= revision > 0;
  }

  /** The list of backends for peers that do not read it from the store themselves. */
  listing(): BackendListing {
    return {
      era: this.era,
      revision: this.#backendsRevision,
      backends: [...this.#backends.values()].map(withoutAdapters),
    };
  }

  /** Applies the listing of a peer that reads the list of backends from the store. */
  applyListing(listing: BackendListing): void {
    if (this.admitEra(listing.era)) this.replaceBackends(listing.revision, listing.backends);
  }

  operatorState(): OperatorState {
    return {
      era: this.era,
      revision: this.#operatorRevision,
      adapterVersions: this.adapterVersions.all(),
    };
  }

  applyOperatorState(state: OperatorState): void {
    // A node that follows others is told soon of each change, once it has the whole state.
    const source = this.#operatorRevision > 0 ? 'change' : 'state';
    for (const published of state.adapterVersions) this.applyAdapterVersion(published, source);
    if (this.admitEra(state.era)) this.advanceOperatorRevision(state.revision);
  }

  snapshot(): FleetSnapshot {
    return {
      era: this.era,
      operatorRevision: this.#operatorRevision,
      configuration: this.#routes?.configuration,
      adapterVersions: this.adapterVersions.all(),
      backendsRevision: this.#backendsRevision,
      backends: [...this.#backends.values()],
    };
  }

  /** Applies what is newer in the snapshot of a peer. */
  merge(snapshot: FleetSnapshot): void {
    if (snapshot.configuration !== undefined) this.applyConfiguration(snapshot.configuration);
    for (const published of snapshot.adapterVersions) this.applyAdapterVersion(published);
    if (!this.admitEra(snapshot.era)) return;
    this.advanceOperatorRevision(snapshot.operatorRevision);
    this.replaceBackends(snapshot.backendsRevision, snapshot.backends);
  }

  /**
   * A listed backend with its effective state: `draining` if this node knows that it is shutting down or may
   * have left. Peers are sent the list as published instead, as it must be the same on all nodes that hold
   * the same revision.
   */
  #effective(listed: BackendDescription): BackendDescription {
    return this.#isListedStateOverridden(listed.id) ? { ...listed, state: 'draining' } : listed;
  }

  #isListedStateOverridden(id: string): boolean {
    return this.#announced.has(id) || this.#departed.hadLeftBeforeRestore(id);
  }

  /** Whether an entry is newer than what is known of its backend, including a removal. */
  #isNewer(entry: Revised<BackendDescription>): boolean {
    const { id } = entry.value;
    const known = this.#backends.get(id);
    if (known !== undefined) return supersedes(entry, known);
    return !this.#departed.isOutdated(id, entry.revision);
  }

  /** Stores a newer entry, without updating the index by service. */
  #storeEntry(entry: Revised<BackendDescription>): void {
    const { id } = entry.value;
    const { state } = this.#effective(entry.value);
    const stateBefore = this.backend(id)?.state;
    this.#backends.set(id, entry);
    this.#departed.forget(id);
    this.#routingDigest.put(id, routingContent(entry.value));
    if (state === 'draining' && stateBefore !== 'draining') {
      this.#notifyDeparture({ id, state, revision: entry.revision, via: 'list' });
    }
  }

  #removeEntry(id: string, revision: number): void {
    this.#backends.delete(id);
    this.#departed.record(id, revision);
    this.#routingDigest.delete(id);
    this.#notifyDeparture({ id, state: 'gone', revision, via: 'list' });
  }

  #updateIndex(revision: number): void {
    this.advanceBackendsRevision(revision);
    this.#backendsByService.clear();
    for (const { value: listed } of this.#backends.values()) {
      const value = this.#effective(listed);
      const group = this.#backendsByService.get(value.service);
      if (group === undefined) this.#backendsByService.set(value.service, [value]);
      else group.push(value);
    }
    this.#notify('backends');
  }

  #notifyDeparture(departure: Departure): void {
    this.#call(this.#departureListeners, departure, departure.id);
  }

  #notify(change: FleetChange): void {
    this.#call(this.#listeners, change, change);
  }

  #call<T>(listeners: readonly ((told: T) => void)[], told: T, subject: string): void {
    for (const listener of listeners) {
      try {
        listener(told);
      } catch (error) {
        this.#onListenerFailure(error, subject);
      }
    }
  }
}

function supersedes(entry: Revised<BackendDescription>, known: Revised<BackendDescription>): boolean {
  if (entry.revision !== known.revision) return entry.revision > known.revision;
  return known.partial === true && entry.partial !== true;
}

function withoutAdapters({ revision, value }: Revised<BackendDescription>): Revised<BackendDescription> {
  const models = value.models.map(({ name }) => ({ name, adapters: [] }));
  return { revision, value: { ...value, models }, partial: true };
}
