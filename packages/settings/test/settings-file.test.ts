import { writeFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import type { Clock } from '@canvasridge/clock';
import * as z from 'zod';
import { SettingsFile } from '../src/index.js';

const SCHEMA = z.object({ version: z.number() });

interface Rig {
  readonly settings: SettingsFile<{ version: number }>;
  readonly write: (content: string) => void;
  readonly waits: string[];
}

/** A settings file on a clock that moves only while the reader sleeps. */
async function setup(t: ExecutionContext, onSleep: () => void = () => undefined): Promise<Rig> {
  const folder = await mkdtemp(join(tmpdir(), 'canvasridge-settings-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const file = join(folder, 'settings.json');
  let nowMs = 0;
  const clock: Pick<Clock, 'now' | 'sleep'> = {
    now: () => nowMs,
    sleep: async (delayMs) => {
      nowMs += delayMs;
      onSleep();
    },
  };
  const waits: string[] = [];
  const settings = new SettingsFile({
    file,
    schema: SCHEMA,
    clock,
    onWaiting: ({ kind }) => waits.push(kind),
  });
  return { settings, write: (content) => writeFileSync(file, content), waits };
}

test('a file that is not complete is read again until it is', async (t) => {
  let sleeps = 0;
  const rig = await setup(t, () => {
    sleeps += 1;
    if (sleeps === 3) rig.write('{"version":1}');
  });
  rig.write('{"vers');
  t.is((await rig.settings.read())._unsafeUnwrap().version, 1);
  t.deepEqual(rig.waits, ['not-json']);
});

test('a file that stays incomplete is an error after the time-out', async (t) => {
  const { settings, waits } = await setup(t);
  t.is((await settings.read())._unsafeUnwrapErr().kind, 'unreadable');
  t.deepEqual(waits, ['unreadable']);
});

// The earlier settings stayed in force for good.
test('a changed file that is complete only after a long time is read', async (t) => {
  let sleeps = 0;
  const rig = await setup(t, () => {
    sleeps += 1;
    if (sleeps === 60) rig.write('{"version":2}');
  });
  rig.write('{"vers');
  const read = await rig.settings.readChange();
  t.is(read?._unsafeUnwrap().version, 2);
  t.deepEqual(rig.waits, ['not-json']);
});

test('a complete file with wrong values is an error at once', async (t) => {
  const { settings, write, waits } = await setup(t);
  write('{}');
  t.is((await settings.read())._unsafeUnwrapErr().kind, 'invalid');
  t.deepEqual(waits, []);
});

// What was read before stayed in force: the announcement came before anything listened to it.
test('a change that is announced while the file is read is part of the result', async (t) => {
  const { settings, write } = await setup(t);
  write('{"version":1}');
  const reading = settings.read();
  const changed = settings.readChange();
  write('{"version":2}');
  t.is(await changed, undefined);
  t.is((await reading)._unsafeUnwrap().version, 2);
});
