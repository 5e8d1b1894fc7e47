import { adapterKey } from './backend.js';
import type { AdapterVersion } from './published.js';
import { SetDigest } from './set-digest.js';

/**
 * How a version became known: `change`: it was announced as it was published; `state`: it is part of a whole state, and
 * may have been published long before.
 */
export type VersionSource = 'change' | 'state';

/** @param before the newest version known before, 0 if none was */
type VersionListener = (published: AdapterVersion, source: VersionSource, before: number) => void;

/** The newest published version of each adapter. */
export class AdapterVersions {
  readonly #versions = new Map<string, AdapterVersion>();
  readonly #digest = new SetDigest();
  readonly #listeners: VersionListener[] = [];

  /** Calls `listener` for each version that is newer than the one known before. */
  onNewer(listener: VersionListener): void {
    this.#listeners.push(listener);
  }

  /** Equal on two nodes that know the same versions. */
  get digest(): number {
    return this.#digest.value;
  }

  all(): readonly AdapterVersion[] {
    return [...this.#versions.values()];
  }

  /** The published version of an adapter, 0 if none is known. */
  get(model: string, adapter: string): number {
    return this.#versions.get(adapterKey(model, adapter))?.version ?? 0;
  }

  /** Applies a version if it is newer than the known one. Returns whether it was applied. */
  apply(published: AdapterVersion, source: VersionSource): boolean {
    const { model, adapter, version } = published;
    const before = this.get(model, adapter);
    if (version <= before) return false;
    const key = adapterKey(model, adapter);
    this.#versions.set(key, published);
    this.#digest.put(key, String(version));
    for (const listener of this.#listeners) listener(published, source, before);
    return true;
  }
}
