import { AnnouncedDepartures } from './announced-departures.js';
import { adapterKey, type BackendDescription } from './backend.js';
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
import { SetDigest } from './set-digest.js';

export type FleetChange = 'configuration' | 'adapter-version' | 'backends';

type ChangeListener = (change: FleetChange) => void;

/** A backend that has to be given nothing more: it said that it leaves, or its entry is gone from the list. */
export interface Departure {
  readonly id: string;
  readonly state: 'draining' | 'gone';
  /** Revision of the publishing store at which it was told, or up to which the list was known when the backend said so itself. */
  readonly revision: number;
  readonly via: DepartureSource;
}

/** Who told of a leaving: the `list`, an `answer` of the backend to this node, or a `peer` to which it answered so. */
export type DepartureSource = 'list' | 'answer' | 'peer';

type DepartureListener = (departure: Departure) => void;

/** The publishing store came back from a copy. */
export interface NewEra {
  /** `NO_ERA` if none was named. */
  readonly from: number;
  readonly to: number;
}

type EraListener = (era: NewEra) => void;

/**
 * What this node knows of the published state. Nothing goes back: of two configurations, adapter versions
 * or entries of a backend the newer one rules, whichever way and in whichever order they arrive. All revisions are of one era
 * of the publishing store; what was known before it counts as older than all that is read in it.
 */
export class FleetState {
  readonly #listeners: ChangeListener[] = [];
  readonly #departureListeners: DepartureListener[] = [];
  readonly #eraListeners: EraListener[] = [];
  readonly #backends = new Map<string, Revised<BackendDescription>>();
  readonly #backendsByService = new Map<string, BackendDescription[]>();
  readonly #adapterVersions = new Map<string, AdapterVersion>();
  #routes: RouteTable | undefined;
  readonly #departed = new DepartedBackends();
  readonly #announced = new AnnouncedDepartures();
  readonly #routingDigest = new SetDigest();
  readonly #operatorDigest = new SetDigest();
  readonly #era = new PublishingEra();
  #isListKnown = false;
  #backendsRevision = 0;
  #operatorRevision = 0;

  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /** Calls back once for each state in which a listed backend is found to leave. */
  onDeparture(listener: DepartureListener): void {
    this.#departureListeners.push(listener);
  }

  /** Calls back when what is known is of an earlier era, and has to be read again. */
  onNewEra(listener: EraListener): void {
    this.#eraListeners.push(listener);
  }

  /** Era of the publishing store to which revisions here belong; `NO_ERA` if it names none. */
  get era(): number {
    return this.#era.current;
  }

  /**
   * The publishing store is in this era. If that is a new one, a backend that said it leaves still does, and one that had left is
   * not given anything until {@link endReturn}: the copy may list both as ready.
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
    for (const listener of this.#eraListeners) listener({ from, to });
  }

  /**
   * Takes note of the era in which a peer tells of the published state.
   * @returns false if it is an earlier one, so that what the peer holds must not be taken
   */
  admitEra(era: number | undefined): boolean {
    const order = this.#era.compare(era);
    if (order > 0 && era !== undefined) this.enterEra(era);
    return order >= 0;
  }

  /** By now the entries of backends that are gone have lapsed in the new era too: those that are still listed live. */
  endReturn(): readonly string[] {
    const listed = this.#departed.endReturn().filter((id) => this.#backends.has(id));
    if (listed.length > 0) this.#backendsChanged(this.#backendsRevision);
    return listed;
  }

  /** Whether the list of backends here is not older than that of a peer. */
  backendsReach(point: PublishedPoint): boolean {
    return this.#reaches(this.#backendsRevision, point);
  }

  /** The same for the entries of the operators. */
  operatorReaches(point: PublishedPoint): boolean {
    return this.#reaches(this.#operatorRevision, point);
  }

  #reaches(ownRevision: number, { era, revision }: PublishedPoint): boolean {
    const order = this.#era.compare(era);
    return order < 0 || (order === 0 && ownRevision >= revision);
  }

  /** Whether the list of backends was ever read here, or taken over from a peer. */
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

  get backendsRevision(): number {
    return this.#backendsRevision;
  }

  /**
   * Tells whether two nodes hold the same list of backends, as far as routing needs it. A revision of the store does
   * not: a removal may be applied later than what was written after it.
   */
  get routingDigest(): number {
    return this.#routingDigest.value;
  }

  /** Tells whether two nodes hold the same entries of the operators; the configuration has its version for that. */
  get operatorDigest(): number {
    return this.#operatorDigest.value;
  }

  /** Revision of the newest entry of the operators that is known. */
  get operatorRevision(): number {
    return this.#operatorRevision;
  }

  /** An entry of the operators was taken over that stands at this revision. */
  confirmOperatorState(revision: number): void {
    this.#operatorRevision = Math.max(this.#operatorRevision, revision);
  }

  backend(id: string): BackendDescription | undefined {
    const entry = this.#backends.get(id);
    return entry === undefined ? undefined : this.#asKnown(entry.value);
  }

  /** Revision of a listed backend's entry. */
  entryRevision(id: string): number | undefined {
    return this.#backends.get(id)?.revision;
  }

  /** Whether a backend is known to leave or to have left, so that it must be given nothing more. */
  isLeaving(id: string): boolean {
    const isKnownToLeave = this.#departed.has(id) || this.#announced.has(id);
    return isKnownToLeave || this.#backends.get(id)?.value.state === 'draining';
  }

  /** Whether a backend said itself that it leaves. */
  hasAnnounced(id: string): boolean {
    return this.#announced.has(id);
  }

  /** Backends of a service that are known to leave though they are listed as ready, so that others may not know. */
  unlistedDepartures(service: string): readonly string[] {
    if (this.#announced.isEmpty && !this.#departed.isReturning) return [];
    const isUntold = ({ id }: BackendDescription): boolean =>
      this.#isCorrected(id) && this.#backends.get(id)?.value.state === 'ready';
    return this.backendsOf(service)
      .filter(isUntold)
      .map(({ id }) => id);
  }

  /** A backend said itself that it leaves: it counts as draining as long as its process lives, whatever the list says. */
  noteAnnounced(id: string, via: DepartureSource): void {
    if (this.#announced.has(id)) return;
    const wasLeaving = this.isLeaving(id);
    this.#announced.add(id, (known) => this.#backends.has(known));
    if (wasLeaving) return;
    this.#notifyDeparture({ id, state: 'draining', revision: this.#backendsRevision, via });
    this.#backendsChanged(this.#backendsRevision);
  }

  /** Listed backends of a service, leaving ones included. */
  backendsOf(service: string): readonly BackendDescription[] {
    return this.#backendsByService.get(service) ?? [];
  }

  *allBackends(): Iterable<Revised<BackendDescription>> {
    for (const entry of this.#backends.values()) {
      const value = this.#asKnown(entry.value);
      yield value === entry.value ? entry : { ...entry, value };
    }
  }

  /** The published version of an adapter, 0 if none was named. */
  adapterVersion(model: string, adapter: string): number {
    return this.#adapterVersions.get(adapterKey(model, adapter))?.version ?? 0;
  }

  /** Takes a configuration over unless a newer one is known. Returns whether it was taken. */
  applyConfiguration(configuration: ServingConfiguration): boolean {
    if (configuration.version <= this.configurationVersion) return false;
    this.#routes = new RouteTable(configuration);
    this.#notify('configuration');
    return true;
  }

  applyAdapterVersion(published: AdapterVersion): boolean {
    if (published.version <= this.adapterVersion(published.model, published.adapter)) return false;
    const key = adapterKey(published.model, published.adapter);
    this.#adapterVersions.set(key, published);
    this.#operatorDigest.put(key, String(published.version));
    this.#notify('adapter-version');
    return true;
  }

  applyBackend(revision: number, value: BackendDescription): void {
    if (!this.#isNews({ revision, value })) return;
    this.#take({ revision, value });
    this.#backendsChanged(revision);
  }

  removeBackend(revision: number, id: string): void {
    const known = this.#backends.get(id);
    if (known !== undefined && known.revision >= revision) return;
    if (known === undefined) this.#departed.note(id, revision);
    else {
      this.#remove(id, revision);
      this.#backendsChanged(revision);
    }
  }

  /** The whole list as of `revision`: entries that it lacks are gone, unless they are newer than it. */
  replaceBackends(revision: number, entries: readonly Revised<BackendDescription>[]): void {
    if (revision < this.#backendsRevision) return;
    const listed = new Set(entries.map((entry) => entry.value.id));
    for (const [id, known] of this.#backends) {
      if (!listed.has(id) && known.revision <= revision) this.#remove(id, revision);
    }
    for (const entry of entries) {
      if (this.#isNews(entry)) this.#take(entry);
    }
    this.#backendsChanged(revision);
  }

  /** Nothing changed up to `revision`. */
  confirmBackends(revision: number): void {
    this.#backendsRevision = Math.max(this.#backendsRevision, revision);
    this.#isListKnown ||= revision > 0;
  }

  /** What peers need that do not read the list of backends themselves. */
  listing(): BackendListing {
    return {
      era: this.era,
      revision: this.#backendsRevision,
      backends: [...this.#backends.values()].map(withoutAdapters),
    };
  }

  /** Takes over the listing of a peer that reads the list of backends. */
  applyListing(listing: BackendListing): void {
    if (this.admitEra(listing.era)) this.replaceBackends(listing.revision, listing.backends);
  }

  operatorState(): OperatorState {
    return {
      era: this.era,
      revision: this.#operatorRevision,
      adapterVersions: [...this.#adapterVersions.values()],
    };
  }

  applyOperatorState(state: OperatorState): void {
    for (const published of state.adapterVersions) this.applyAdapterVersion(published);
    if (this.admitEra(state.era)) this.confirmOperatorState(state.revision);
  }

  snapshot(): FleetSnapshot {
    return {
      era: this.era,
      operatorRevision: this.#operatorRevision,
      configuration: this.#routes?.configuration,
      adapterVersions: [...this.#adapterVersions.values()],
      backendsRevision: this.#backendsRevision,
      backends: [...this.#backends.values()],
    };
  }

  /** Takes over what is newer in the view of a peer. */
  merge(snapshot: FleetSnapshot): void {
    if (snapshot.configuration !== undefined) this.applyConfiguration(snapshot.configuration);
    for (const published of snapshot.adapterVersions) this.applyAdapterVersion(published);
    if (!this.admitEra(snapshot.era)) return;
    this.confirmOperatorState(snapshot.operatorRevision);
    this.replaceBackends(snapshot.backendsRevision, snapshot.backends);
  }

  /**
   * What the list says, corrected by what else is known of the backend. Peers are sent the list as it was published: it has
   * to be the same on all that hold the same revision.
   */
  #asKnown(listed: BackendDescription): BackendDescription {
    return this.#isCorrected(listed.id) ? { ...listed, state: 'draining' } : listed;
  }

  #isCorrected(id: string): boolean {
    return this.#announced.has(id) || this.#departed.hadLeftBefore(id);
  }

  /** Whether an entry says more than what is known of its backend, its departure included. */
  #isNews(entry: Revised<BackendDescription>): boolean {
    const { id } = entry.value;
    const known = this.#backends.get(id);
    if (known !== undefined) return supersedes(entry, known);
    return !this.#departed.isOutdated(id, entry.revision);
  }

  #take(entry: Revised<BackendDescription>): void {
    const { id } = entry.value;
    const { state } = this.#asKnown(entry.value);
    const stateBefore = this.backend(id)?.state;
    this.#backends.set(id, entry);
    this.#departed.forget(id);
    this.#routingDigest.put(id, routingContent(entry.value));
    if (state === 'draining' && stateBefore !== 'draining') {
      this.#notifyDeparture({ id, state, revision: entry.revision, via: 'list' });
    }
  }

  #remove(id: string, revision: number): void {
    this.#backends.delete(id);
    this.#departed.note(id, revision);
    this.#routingDigest.delete(id);
    this.#notifyDeparture({ id, state: 'gone', revision, via: 'list' });
  }

  #backendsChanged(revision: number): void {
    this.confirmBackends(revision);
    this.#backendsByService.clear();
    for (const { value: listed } of this.#backends.values()) {
      const value = this.#asKnown(listed);
      const group = this.#backendsByService.get(value.service);
      if (group === undefined) this.#backendsByService.set(value.service, [value]);
      else group.push(value);
    }
    this.#notify('backends');
  }

  #notifyDeparture(departure: Departure): void {
    for (const listener of this.#departureListeners) listener(departure);
  }

  #notify(change: FleetChange): void {
    for (const listener of this.#listeners) listener(change);
  }
}

function supersedes(entry: Revised<BackendDescription>, known: Revised<BackendDescription>): boolean {
  if (entry.revision !== known.revision) return entry.revision > known.revision;
  return known.partial === true && entry.partial !== true;
}

/** What routing needs of a description: all but the adapters that the backend holds. */
function routingContent(backend: BackendDescription): string {
  const { service, address, zone, state, slots, models } = backend;
  return JSON.stringify([service, address, zone, state, slots, models.map((model) => model.name)]);
}

function withoutAdapters({ revision, value }: Revised<BackendDescription>): Revised<BackendDescription> {
  const models = value.models.map(({ name }) => ({ name, adapters: [] }));
  return { revision, value: { ...value, models }, partial: true };
}
