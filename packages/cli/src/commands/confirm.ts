import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { buildPublication, type Publication } from '@canvasridge/configuration';
import { ExitCode, UsageError, type CommandDefinition } from '@canvasridge/settings';
import { planAgainstFleet } from './plan.js';
import {
  NODE_OPTIONS,
  adminClient,
  printError,
  reportAdminError,
  fileArgument,
  readConfigurationFile,
  printLine,
} from './shared.js';

export const confirmCommand: CommandDefinition = {
  name: 'confirm',
  summary:
    'Writes the documents of a planned revision, for the operator to publish. The system itself writes nothing.',
  positionals: 'FILE',
  maximumPositionals: 1,
  options: {
    ...NODE_OPTIONS,
    'plan-digest': { type: 'string', help: 'digest that "canvasridge plan" printed', placeholder: 'DIGEST' },
    'service-version': {
      type: 'string',
      help: 'current version of canvasridge/head in the configuration service; default: the version of the revision in force',
      placeholder: 'N',
    },
    output: {
      type: 'string',
      help: 'folder for the documents; without it they are printed as JSON',
      placeholder: 'DIR',
    },
  },
  run: async (input) => {
    const intent = await readConfigurationFile(fileArgument(input));
    if (intent === undefined) return ExitCode.usage;
    const digest = input.text('plan-digest');
    if (digest === undefined)
      throw new UsageError(
        '--plan-digest is missing: run "canvasridge plan FILE", check the plan and pass the digest that it prints',
      );
    const planned = await planAgainstFleet(adminClient(input), intent);
    if (planned.isErr()) return reportAdminError(planned.error);
    const { plan, inForce, disagreeing } = planned.value;
    const refusal = refusalReason(plan.digest, digest, plan.problems.length, disagreeing);
    if (refusal !== undefined) {
      printError(refusal);
      return ExitCode.failure;
    }
    const serviceVersion =
      input.text('service-version') === undefined
        ? inForce.serviceVersion
        : input.number('service-version', 0, Number.MAX_SAFE_INTEGER);
    const previous = { revision: inForce.revision, digest: inForce.digest ?? '0'.repeat(64) };
    await writeDocuments(buildPublication(intent, previous, serviceVersion), input.text('output'));
    return ExitCode.success;
  },
};

/** Why the plan may not be confirmed; undefined if it may. */
function refusalReason(
  found: string,
  confirmed: string,
  problems: number,
  disagreeing: readonly string[],
): string | undefined {
  if (found !== confirmed) {
    return `--plan-digest: the plan is now ${found}: the document or the revision in force has changed; plan again`;
  }
  if (problems > 0)
    return `the plan has ${problems} intents that cannot be met; "canvasridge plan" lists them`;
  if (disagreeing.length > 0)
    return `${disagreeing.join(', ')}: another revision is in force there; plan again`;
  return undefined;
}

async function writeDocuments(published: Publication, folder: string | undefined): Promise<void> {
  if (folder === undefined) {
    printLine(JSON.stringify(published.documents));
    return;
  }
  await mkdir(folder, { recursive: true });
  for (const [index, document] of published.documents.entries()) {
    const file = join(
      folder,
      `${String(index + 1).padStart(4, '0')}-${document.key.replaceAll('/', '_')}.json`,
    );
    await writeFile(file, document.value);
    printLine(`${file}\n  publish as ${document.key}`);
  }
  printLine(`revision ${published.head.revision}: publish in this order; the head comes last`);
}
