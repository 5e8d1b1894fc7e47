import { adapterKey, type BackendDescription } from './backend.js';
import type { ServingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/** A value with the revision of the publishing store at which it was written. */
export interface Revised<T> {
  readonly revision: number;
  readonly value: T;
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

export type FleetChange = 'configuration' | 'adapter-version' | 'backends';

type ChangeListener = (change: FleetChange) => void;

/**
 * What this node knows of the published state. Nothing goes back: of two configurations, adapter versions
 * or entries of a backend the newer one rules, whichever way and in whichever order they arrive.
 */
export class FleetState {
  readonly #listeners: ChangeListener[] = [];
  readonly #backends = new Map<string, Revised<BackendDescription>>();
  readonly #backendsByService = new Map<string, BackendDescription[]>();
  readonly #adapterVersions = new Map<string, AdapterVersion>();
  #routes: RouteTable | undefined;
  #backendsRevision = 0;

  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
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

  backend(id: string): BackendDescription | undefined {
    return this.#backends.get(id)?.value;
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
    if (known !== undefined && known.revision >= revision) return;
    this.#backends.set(value.id, { revision, value });
    this.#backendsChanged(revision);
  }

  removeBackend(revision: number, id: string): void {
    const known = this.#backends.get(id);
    if (known === undefined || known.revision >= revision) return;
    this.#backends.delete(id);
    this.#backendsChanged(revision);
  }

  /** The whole list as of `revision`: entries that it lacks are gone, unless they are newer than it. */
  replaceBackends(revision: number, entries: readonly Revised<BackendDescription>[]): void {
    if (revision < this.#backendsRevision) return;
    const listed = new Set(entries.map((entry) => entry.value.id));
    for (const [id, known] of this.#backends) {
      if (!listed.has(id) && known.revision <= revision) this.#backends.delete(id);
    }
    for (const entry of entries) {
      const known = this.#backends.get(entry.value.id);
      if (known === undefined || known.revision < entry.revision) this.#backends.set(entry.value.id, entry);
    }
    this.#backendsChanged(revision);
  }

  /** Nothing changed up to `revision`. */
  confirmBackends(revision: number): void {
    this.#backendsRevision = Math.max(this.#backendsRevision, revision);
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

  #notify(change: FleetChange): void {
    for (const listener of this.#listeners) listener(change);
  }
}
