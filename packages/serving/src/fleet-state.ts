import { adapterKey, type BackendDescription } from './backend.js';
import type { ServingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/** A value with the revision of the publishing store at which it was written. */
export interface Revised<T> {
  readonly revision: number;
  readonly value: T;
  /** Some of what was written is left out, so that the whole entry of the same revision rules. */
  readonly partial?: boolean;
}

/** The published version of an adapter. */
export interface AdapterVersion {
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
}

/** All that was published, as one node knows it; sent to peers whose own view is older. */
export interface FleetSnapshot {
  readonly configuration: ServingConfiguration | undefined;
  readonly adapterVersions: readonly AdapterVersion[];
  /** Revision up to which the list of backends is complete. */
  readonly backendsRevision: number;
  readonly backends: readonly Revised<BackendDescription>[];
}

/** What a node needs for routing of the list of backends: all but the adapters that they hold. */
export interface BackendListing {
  /** Revision up to which the list is complete. */
  readonly revision: number;
  /** Revision of the last change in it that matters for routing. */
  readonly routingRevision: number;
  readonly backends: readonly Revised<BackendDescription>[];
}

/** What operators published beside the list of backends. */
export interface OperatorState {
  /** Revision of the newest entry that is part of it. */
  readonly revision: number;
  readonly configuration: ServingConfiguration | undefined;
  readonly adapterVersions: readonly AdapterVersion[];
}

export type FleetChange = 'configuration' | 'adapter-version' | 'backends';

type ChangeListener = (change: FleetChange) => void;

/** A backend that has to be given nothing more: it said that it leaves, or its entry is gone from the list. */
export interface Departure {
  readonly id: string;
  readonly state: 'draining' | 'gone';
  /** Revision of the publishing store at which it was told. */
  readonly revision: number;
}

type DepartureListener = (departure: Departure) => void;

/**
 * What this node knows of the published state. Nothing goes back: of two configurations, adapter versions
 * or entries of a backend the newer one rules, whichever way and in whichever order they arrive.
 */
export class FleetState {
  readonly #listeners: ChangeListener[] = [];
  readonly #departureListeners: DepartureListener[] = [];
  readonly #backends = new Map<string, Revised<BackendDescription>>();
  readonly #backendsByService = new Map<string, BackendDescription[]>();
  readonly #adapterVersions = new Map<string, AdapterVersion>();
  #routes: RouteTable | undefined;
  /** Backends that left the list, oldest first; each start of a backend has an id of its own. */
  readonly #departed = new Set<string>();
  #backendsRevision = 0;
  #routingRevision = 0;
  #operatorRevision = 0;

  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /** Calls back once for each state in which a listed backend is found to leave. */
  onDeparture(listener: DepartureListener): void {
    this.#departureListeners.push(listener);
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

  /** Revision of the last change in the list of backends that matters for routing. */
  get routingRevision(): number {
    return this.#routingRevision;
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
    return this.#backends.get(id)?.value;
  }

  /** Whether a backend is known to leave or to have left, so that it must be given nothing more. */
  isLeaving(id: string): boolean {
    return this.#departed.has(id) || this.backend(id)?.state === 'draining';
  }

  /** Listed backends of a service, leaving ones included. */
  backendsOf(service: string): readonly BackendDescription[] {
    return this.#backendsByService.get(service) ?? [];
  }

  allBackends(): Iterable<Revised<BackendDescription>> {
    return this.#backends.values();
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
    this.#adapterVersions.set(adapterKey(published.model, published.adapter), published);
    this.#notify('adapter-version');
    return true;
  }

  applyBackend(revision: number, value: BackendDescription): void {
    const known = this.#backends.get(value.id);
    if (known !== undefined && !supersedes({ revision, value }, known)) return;
    this.#take({ revision, value }, known);
    this.#backendsChanged(revision);
  }

  removeBackend(revision: number, id: string): void {
    const known = this.#backends.get(id);
    if (known === undefined || known.revision >= revision) return;
    this.#remove(id, revision);
    this.#backendsChanged(revision);
  }

  /** The whole list as of `revision`: entries that it lacks are gone, unless they are newer than it. */
  replaceBackends(revision: number, entries: readonly Revised<BackendDescription>[]): void {
    if (revision < this.#backendsRevision) return;
    const listed = new Set(entries.map((entry) => entry.value.id));
    for (const [id, known] of this.#backends) {
      if (!listed.has(id) && known.revision <= revision) this.#remove(id, revision);
    }
    for (const entry of entries) {
      const known = this.#backends.get(entry.value.id);
      if (known === undefined || supersedes(entry, known)) this.#take(entry, known);
    }
    this.#backendsChanged(revision);
  }

  /** Nothing changed up to `revision`. */
  confirmBackends(revision: number): void {
    this.#backendsRevision = Math.max(this.#backendsRevision, revision);
  }

  /** What peers need that do not read the list of backends themselves. */
  listing(): BackendListing {
    return {
      revision: this.#backendsRevision,
      routingRevision: this.#routingRevision,
      backends: [...this.#backends.values()].map(withoutAdapters),
    };
  }

  /** Takes over the listing of a peer that reads the list of backends. */
  applyListing(listing: BackendListing): void {
    this.replaceBackends(listing.revision, listing.backends);
    this.#routingRevision = Math.max(this.#routingRevision, listing.routingRevision);
  }

  operatorState(): OperatorState {
    return {
      revision: this.#operatorRevision,
      configuration: this.#routes?.configuration,
      adapterVersions: [...this.#adapterVersions.values()],
    };
  }

  applyOperatorState(state: OperatorState): void {
    if (state.configuration !== undefined) this.applyConfiguration(state.configuration);
    for (const published of state.adapterVersions) this.applyAdapterVersion(published);
    this.confirmOperatorState(state.revision);
  }

  snapshot(): FleetSnapshot {
    return {
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
    if (snapshot.backendsRevision > this.#backendsRevision) {
      this.replaceBackends(snapshot.backendsRevision, snapshot.backends);
    }
  }

  #take(entry: Revised<BackendDescription>, known: Revised<BackendDescription> | undefined): void {
    this.#backends.set(entry.value.id, entry);
    this.#departed.delete(entry.value.id);
    if (entry.value.state === 'draining' && known?.value.state !== 'draining') {
      this.#notifyDeparture({ id: entry.value.id, state: 'draining', revision: entry.revision });
    }
    if (known === undefined || !routesAlike(entry.value, known.value)) this.#routingChanged(entry.revision);
  }

  #remove(id: string, revision: number): void {
    this.#backends.delete(id);
    this.#noteDeparted(id);
    this.#notifyDeparture({ id, state: 'gone', revision });
    this.#routingChanged(revision);
  }

  #noteDeparted(id: string): void {
    this.#departed.add(id);
    if (this.#departed.size <= DEPARTED_KEPT) return;
    const oldest = this.#departed.values().next();
    if (oldest.done !== true) this.#departed.delete(oldest.value);
  }

  #routingChanged(revision: number): void {
    this.#routingRevision = Math.max(this.#routingRevision, revision);
  }

  #backendsChanged(revision: number): void {
    this.#backendsRevision = Math.max(this.#backendsRevision, revision);
    this.#backendsByService.clear();
    for (const { value } of this.#backends.values()) {
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

/** Several times what leaves a large fleet within the time in which others may still name it. */
const DEPARTED_KEPT = 1024;

function supersedes(entry: Revised<BackendDescription>, known: Revised<BackendDescription>): boolean {
  if (entry.revision !== known.revision) return entry.revision > known.revision;
  return known.partial === true && entry.partial !== true;
}

/** Whether two descriptions of a backend are the same but for the adapters that it holds. */
function routesAlike(a: BackendDescription, b: BackendDescription): boolean {
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.zone === b.zone &&
    a.state === b.state &&
    a.slots === b.slots &&
    a.models.length === b.models.length &&
    a.models.every((model, index) => model.name === b.models[index]?.name)
  );
}

function withoutAdapters({ revision, value }: Revised<BackendDescription>): Revised<BackendDescription> {
  const models = value.models.map(({ name }) => ({ name, adapters: [] }));
  return { revision, value: { ...value, models }, partial: true };
}
