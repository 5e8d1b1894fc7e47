import type { Clock } from '@canvasridge/clock';
import { adapterKey } from './backend.js';
import type { FleetState } from './fleet-state.js';
import type { AdapterVersion } from './published.js';

/** Bound in milliseconds where operators set none. */
const DEFAULT_BOUND_MS = 5000;
/**
 * Share of the bound within which the leader of a pool still grants an outdated version. The rest is for the node to learn
 * of the publication, which takes longest after its connection to the store has fallen silent.
 */
const GRANT_SHARE = 0.3;
/**
 * Share of the bound within which a node still writes a request to an engine with an outdated version. More than for
 * grants, as the leader may learn of a publication later than the node that it grants an engine to.
 */
const SEND_SHARE = 0.5;

export interface VersionGraceOptions {
  /** Also advances while the machine is suspended. */
  readonly clock: Clock;
  readonly fleet: Pick<FleetState, 'adapterVersion' | 'adapterVersions'>;
  /** Time after a publication from which on no request may begin on an older version; undefined if none is set. */
  readonly boundMs: number | undefined;
}

/** A version, and when this node learnt of its publication. */
interface RecentVersion {
  readonly version: number;
  readonly knownMs: number;
}

/**
 * Tells which versions of an adapter may still serve new requests. For a time after a publication, an older version may,
 * until the engines have loaded the newer one. The time counts from the publication, not from the first request that
 * meets an older version. Versions that were already published when this node learnt of them get no such time.
 */
export class VersionGrace {
  readonly #options: VersionGraceOptions;
  readonly #boundMs: number;
  /** By adapter: versions for which some grace may be left, oldest first. */
  readonly #recent = new Map<string, RecentVersion[]>();
  /** By adapter with an entry in `#recent`: the version required without those. */
  readonly #required = new Map<string, number>();

  constructor(options: VersionGraceOptions) {
    this.#options = options;
    this.#boundMs = options.boundMs ?? DEFAULT_BOUND_MS;
    options.fleet.adapterVersions.onNewer((published, source, before) => {
      if (source === 'change') this.#begin(published, before);
      else this.#end(adapterKey(published.model, published.adapter));
    });
  }

  /** Lowest version of an adapter that a leader may grant; 0 for any. */
  requiredToGrant(model: string, adapter: string): number {
    return this.#requiredAfter(model, adapter, this.#boundMs * GRANT_SHARE);
  }

  /** Lowest version of an adapter on which a request may begin; 0 for any. */
  requiredToSend(model: string, adapter: string): number {
    return this.#requiredAfter(model, adapter, this.#boundMs * SEND_SHARE);
  }

  #requiredAfter(model: string, adapter: string, graceMs: number): number {
    const key = adapterKey(model, adapter);
    const recent = this.#recent.get(key);
    if (recent === undefined) return this.#options.fleet.adapterVersion(model, adapter);
    const nowMs = this.#options.clock.now();
    const ended = recent.filter(({ knownMs }) => nowMs - knownMs >= graceMs);
    return ended.at(-1)?.version ?? this.#required.get(key) ?? 0;
  }

  #begin({ model, adapter, version }: AdapterVersion, before: number): void {
    const { clock } = this.#options;
    const key = adapterKey(model, adapter);
    const recent = this.#recent.get(key) ?? [];
    if (recent.length === 0) this.#required.set(key, before);
    this.#recent.set(key, [...recent, { version, knownMs: clock.now() }]);
    clock.setTimer(this.#boundMs * SEND_SHARE, () => this.#expire(key, version));
  }

  /** The grace of this version and of those before it is over. */
  #expire(key: string, version: number): void {
    const recent = this.#recent.get(key)?.filter((later) => later.version > version);
    if (recent === undefined) return;
    if (recent.length === 0) this.#end(key);
    else {
      this.#recent.set(key, recent);
      this.#required.set(key, version);
    }
  }

  #end(key: string): void {
    this.#recent.delete(key);
    this.#required.delete(key);
  }
}
