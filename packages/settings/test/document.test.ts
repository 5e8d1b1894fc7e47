import test from 'ava';
import * as z from 'zod';
import { formatSettingsError, parseDocument } from '../src/index.js';

const schema = z.strictObject({ list: z.array(z.strictObject({ size: z.int().min(1) })) });

const badDocuments: readonly { name: string; text: string; expected: readonly string[] }[] = [
  { name: 'not JSON', text: '{', expected: ['s.json', 'is not JSON'] },
  {
    name: 'a wrong number',
    text: '{"list":[{"size":0}]}',
    expected: ['s.json: list[0].size', 'found 0', '>=1'],
  },
  { name: 'a missing field', text: '{}', expected: ['s.json: list', 'found nothing'] },
  { name: 'an unknown field', text: '{"list":[],"lost":1}', expected: ['(root)', 'lost'] },
];

for (const { name, text, expected } of badDocuments) {
  test(`an error for ${name} names the file, the path, the value found and what is allowed`, (t) => {
    const message = parseDocument('s.json', text, schema).match(() => '', formatSettingsError);
    for (const part of expected) t.true(message.includes(part), `${message} should contain ${part}`);
  });
}
