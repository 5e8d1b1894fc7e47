import { err, ok, type Result } from 'neverthrow';
import type {
  AdapterDefinition,
  CallerDefinition,
  Configuration,
  EngineDefinition,
  ServiceDefinition,
  Tuning,
} from './configuration.js';
import { parseModelName, type AdapterRef, type ModelNameError } from './model-name.js';

/** Why a model name leads to no adapter. */
export type ModelLookupError = ModelNameError | { readonly kind: 'unknown-model'; readonly found: string };

/** Look-up tables of one revision. Built once a revision, then only read. */
export class ConfigurationIndex {
  readonly revision: number;
  readonly configuration: Configuration;
  readonly tuning: Tuning;
  readonly engines: ReadonlyMap<string, EngineDefinition>;
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly #adapters = new Map<string, AdapterDefinition>();
  readonly #callersByKey = new Map<string, CallerDefinition>();
  readonly #callersByName = new Map<string, CallerDefinition>();
  readonly #enginesByBase = new Map<string, EngineDefinition[]>();
  readonly #leaving: ReadonlySet<string>;
  readonly #references = new Map<string, AdapterRef>();

  constructor(revision: number, configuration: Configuration) {
    this.revision = revision;
    this.configuration = configuration;
    this.tuning = configuration.tuning;
    this.engines = new Map(configuration.engines.map((engine) => [engine.id, engine]));
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    this.#leaving = new Set(configuration.leavingMachines);
    for (const adapter of configuration.adapters)
      this.#adapters.set(`${adapter.base}:${adapter.name}`, adapter);
    for (const caller of configuration.callers) {
      this.#callersByName.set(caller.name, caller);
      for (const key of caller.keySha256) this.#callersByKey.set(key, caller);
    }
    for (const base of configuration.bases) this.#enginesByBase.set(base.name, []);
    for (const engine of configuration.engines) this.#enginesByBase.get(engine.base)?.push(engine);
  }

  /** Resolves a model name; a missing version becomes the newest served one. */
  resolveModel(text: string): Result<AdapterRef, ModelLookupError> {
    const known = this.#references.get(text);
    if (known !== undefined) return ok(known);
    return parseModelName(text).andThen((ref) => this.#resolve(text, ref));
  }

  #resolve(text: string, ref: AdapterRef): Result<AdapterRef, ModelLookupError> {
    const adapter = this.#adapters.get(`${ref.base}:${ref.adapter}`);
    const version = ref.version === '' ? adapter?.versions.at(-1) : ref.version;
    if (adapter === undefined || version === undefined || !adapter.versions.includes(version)) {
      return err({ kind: 'unknown-model', found: text.slice(0, 200) });
    }
    const resolved = { ...ref, version };
    this.#references.set(text, resolved);
    return ok(resolved);
  }

  adapter(base: string, adapterName: string): AdapterDefinition | undefined {
    return this.#adapters.get(`${base}:${adapterName}`);
  }

  callerByKey(keySha256: string): CallerDefinition | undefined {
    return this.#callersByKey.get(keySha256);
  }

  callerByName(callerName: string): CallerDefinition | undefined {
    return this.#callersByName.get(callerName);
  }

  /** Engines of a base model, leaving ones included. */
  enginesOf(base: string): readonly EngineDefinition[] {
    return this.#enginesByBase.get(base) ?? [];
  }

  /** Whether the configuration says that a back-end machine is leaving. */
  isLeaving(machine: string | undefined): boolean {
    return machine !== undefined && this.#leaving.has(machine);
  }
}
