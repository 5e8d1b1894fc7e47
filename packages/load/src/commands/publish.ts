import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { ExitCode, UsageError, type CommandDefinition } from '@canvasridge/settings';
import { request } from 'undici';

export const publishCommand: CommandDefinition = {
  name: 'publish',
  summary: 'Publishes a folder written by "canvasridge confirm" in the emulated configuration service.',
  positionals: 'DIR',
  maximumPositionals: 1,
  options: { standin: { type: 'string', help: 'URL of the emulator', placeholder: 'URL' } },
  run: async (input) => {
    const [folder] = input.positionals;
    const standin = input.text('standin');
    if (folder === undefined)
      throw new UsageError('DIR is missing: give the folder that "canvasridge confirm" wrote');
    if (standin === undefined)
      throw new UsageError('--standin is missing: give the URL of canvasridge-standin');
    for (const file of (await readdir(folder)).sort()) {
      const key = file
        .replace(/^\d+-/, '')
        .replace(/\.json$/, '')
        .replaceAll('_', '/');
      const value = await readFile(join(folder, file), 'utf8');
      const response = await request(`${standin}/operator/publish`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ key, value }),
      });
      const answer = await response.body.text();
      if (response.statusCode !== 200) {
        process.stderr.write(`${file}: ${answer}\n`);
        return ExitCode.failure;
      }
      process.stdout.write(`published ${key}\n`);
    }
    return ExitCode.success;
  },
};
