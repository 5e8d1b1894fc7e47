import type { BackendDescription, FleetState, VersionGrace } from '@canvasridge/serving';
import type { GenerationFacts } from '../request/dialect.js';
import type { PickedBackend } from './picker.js';

/** The adapter that a request names. */
type NamedAdapter = Pick<GenerationFacts, 'model' | 'adapter'>;

/**
 * What a node may send to a backend, as far as the version of the request's adapter decides that:
 * - `current`: the backend holds a version that may serve the request
 * - `unknown`: the backend has to check itself that it holds `expected`
 * - `outdated`: it holds the version `held`, and `required` or a newer one must serve the request
 */
export type VersionVerdict =
  | { readonly kind: 'current' }
  | { readonly kind: 'unknown'; readonly expected: number }
  | { readonly kind: 'outdated'; readonly held: number; readonly required: number };

const CURRENT: VersionVerdict = { kind: 'current' };

/**
 * Checks that a backend holds a version of an adapter that may serve a request, whoever chose the backend: a leader that
 * has not learnt of a publication, or this node by what the backend served before.
 */
export class AdapterVersionCheck {
  readonly #fleet: Pick<FleetState, 'backend' | 'adapterVersion'>;
  readonly #grace: Pick<VersionGrace, 'requiredToSend'>;

  constructor(
    fleet: Pick<FleetState, 'backend' | 'adapterVersion'>,
    grace: Pick<VersionGrace, 'requiredToSend'>,
  ) {
    this.#fleet = fleet;
    this.#grace = grace;
  }

  /** @param generation undefined if the request is not for a model */
  verdict(
    generation: NamedAdapter | undefined,
    { backend, adapterVersion }: Pick<PickedBackend, 'backend' | 'adapterVersion'>,
  ): VersionVerdict {
    if (generation?.adapter === undefined) return CURRENT;
    const { model, adapter } = generation;
    const required = this.#grace.requiredToSend(model, adapter);
    const held = this.heldVersion(generation, backend, adapterVersion);
    if (required === 0 || (held ?? 0) >= required) return CURRENT;
    return held === undefined
      ? { kind: 'unknown', expected: this.#fleet.adapterVersion(model, adapter) }
      : { kind: 'outdated', held, required };
  }

  /**
   * The version that a backend holds by its list entry or by what is remembered of it, whichever is newer: engines
   * replace a version only by a newer one. Undefined if neither tells.
   */
  heldVersion(
    { model, adapter }: NamedAdapter,
    backend: BackendDescription,
    remembered: number | undefined,
  ): number | undefined {
    const entry = this.#fleet.backend(backend.id) ?? backend;
    const listed = entry.models
      .find(({ name }) => name === model)
      ?.adapters.find(({ name }) => name === adapter)?.version;
    if (listed === undefined || remembered === undefined) return listed ?? remembered;
    return Math.max(listed, remembered);
  }
}
