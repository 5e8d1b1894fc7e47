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

/** Why a model name could not be resolved to an adapter. */
export type ModelLookupError = ModelNameError | { readonly kind: 'unknown-model'; readonly found: string };

/** Lookup tables of one configuration revision. Built once for each revision and not changed afterwards. */
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
  readonly #leavingMachines: ReadonlySet<string>;
  readonly #resolvedNames = new Map<string, AdapterRef>();

  constructor(revision: number, configuration: Configuration) {
    this.revision = revision;
    this.configuration = configuration;
    this.tuning = configuration.tuning;
    this.engines = new Map(configuration.engines.map((engine) => [engine.id, engine]));
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    this.#leavingMachines = new Set(configuration.leavingMachines);
    for (const adapter of configuration.adapters)
      this.#adapters.set(`${adapter.base}:${adapter.name}`, adapter);
    for (const caller of configuration.callers) {
      this.#callersByName.set(caller.name, caller);
      for (const key of caller.keySha256) this.#callersByKey.set(key, caller);
    }
    for (const base of configuration.bases) this.#enginesByBase.set(base.name, []);
    for (const engine of configuration.engines) this.#enginesByBase.get(engine.base)?.push(engine);
  }

  /** Resolves a model name; without a version, to the newest version served. */
  resolveModel(text: string): Result<AdapterRef, ModelLookupError> {
    const cached = this.#resolvedNames.get(text);
    if (cached !== undefined) return ok(cached);
    return parseModelName(text).andThen((ref) => this.#resolve(text, ref));
  }

  #resolve(text: string, ref: AdapterRef): Result<AdapterRef, ModelLookupError> {
    const adapter = this.#adapters.get(`${ref.base}:${ref.adapter}`);
    const version = ref.version === '' ? adapter?.versions.at(-1) : ref.version;
    if (adapter === undefined || version === undefined || !adapter.versions.includes(version)) {
      return err({ kind: 'unknown-model', found: text.slice(0, 200) });
    }
    const resolved = { ...ref, version };
    this.#resolvedNames.set(text, resolved);
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

  /** Engines of a base model, including those on leaving machines. */
  enginesOf(base: string): readonly EngineDefinition[] {
    return this.#enginesByBase.get(base) ?? [];
  }

  /** Whether the configuration lists a back-end machine as leaving. */
  isLeaving(machine: string | undefined): boolean {
    return machine !== undefined && this.#leavingMachines.has(machine);
  }
}
