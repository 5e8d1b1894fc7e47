import type { Configuration } from '@canvasridge/domain';

/** Part of a configuration that contradicts another part or that the fleet cannot fulfil. */
export interface IntentProblem {
  /** Path within the configuration document. */
  readonly path: string;
  /** What is wrong, and what would be valid. */
  readonly problem: string;
}

/**
 * Checks what a schema cannot express: references, duplicates, and requirements that no engine can fulfil.
 */
export function checkIntent(configuration: Configuration): IntentProblem[] {
  return [
    ...duplicates('bases', configuration.bases, (base) => base.name),
    ...duplicates('engines', configuration.engines, (engine) => engine.id),
    ...duplicates('services', configuration.services, (service) => service.name),
    ...duplicates('callers', configuration.callers, (caller) => caller.name),
    ...duplicates('adapters', configuration.adapters, (adapter) => `${adapter.base}:${adapter.name}`),
    ...checkSharedKeys(configuration),
    ...checkEngines(configuration),
    ...checkAdapters(configuration),
    ...checkCallers(configuration),
  ];
}

function duplicates<T>(section: string, items: readonly T[], nameOf: (item: T) => string): IntentProblem[] {
  const firstIndexByName = new Map<string, number>();
  const problems: IntentProblem[] = [];
  items.forEach((item, index) => {
    const name = nameOf(item);
    const firstIndex = firstIndexByName.get(name);
    if (firstIndex === undefined) firstIndexByName.set(name, index);
    else
      problems.push({
        path: `${section}[${index}]`,
        problem: `"${name}" is already ${section}[${firstIndex}]`,
      });
  });
  return problems;
}

function checkSharedKeys(configuration: Configuration): IntentProblem[] {
  const owners = new Map<string, string>();
  const problems: IntentProblem[] = [];
  configuration.callers.forEach((caller, index) => {
    caller.keySha256.forEach((key, keyIndex) => {
      const owner = owners.get(key);
      if (owner === undefined) owners.set(key, caller.name);
      else {
        const path = `callers[${index}].keySha256[${keyIndex}]`;
        problems.push({ path, problem: `the key already belongs to caller "${owner}"; give each its own` });
      }
    });
  });
  return problems;
}

function checkEngines(configuration: Configuration): IntentProblem[] {
  const bases = new Set(configuration.bases.map((base) => base.name));
  return configuration.engines.flatMap((engine, index) =>
    bases.has(engine.base)
      ? []
      : [
          {
            path: `engines[${index}].base`,
            problem: `"${engine.base}" is not among bases: ${[...bases].join(', ')}`,
          },
        ],
  );
}

function checkAdapters(configuration: Configuration): IntentProblem[] {
  const bases = new Set(configuration.bases.map((base) => base.name));
  const remainingEngines = countRemainingEngines(configuration);
  const problems: IntentProblem[] = [];
  configuration.adapters.forEach((adapter, index) => {
    const engineCount = remainingEngines.get(adapter.base) ?? 0;
    const path = `adapters[${index}]`;
    if (!bases.has(adapter.base)) {
      problems.push({
        path: `${path}.base`,
        problem: `"${adapter.base}" is not among bases: ${[...bases].join(', ')}`,
      });
    } else if (engineCount === 0) {
      problems.push({
        path: `${path}.base`,
        problem: `no engine of base "${adapter.base}" stays in service`,
      });
    } else if ((adapter.pinnedReplicas ?? 0) > engineCount) {
      problems.push({
        path: `${path}.pinnedReplicas`,
        problem: `only ${engineCount} engines of base "${adapter.base}" stay`,
      });
    }
  });
  return problems;
}

/** Counts the engines of each base model whose machine is not leaving. */
function countRemainingEngines(configuration: Configuration): Map<string, number> {
  const leaving = new Set(configuration.leavingMachines);
  const counts = new Map<string, number>();
  for (const engine of configuration.engines) {
    if (engine.machine !== undefined && leaving.has(engine.machine)) continue;
    counts.set(engine.base, (counts.get(engine.base) ?? 0) + 1);
  }
  return counts;
}

function checkCallers(configuration: Configuration): IntentProblem[] {
  const services = new Set(configuration.services.map((service) => service.name));
  return configuration.callers.flatMap((caller, index) =>
    caller.services.flatMap((service, serviceIndex) =>
      service === '*' || services.has(service)
        ? []
        : [
            {
              path: `callers[${index}].services[${serviceIndex}]`,
              problem: `there is no service "${service}"`,
            },
          ],
    ),
  );
}
