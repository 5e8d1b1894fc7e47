import test from 'ava';
import fc from 'fast-check';
import { formatModelName, parseModelName } from '../src/index.js';

const names: readonly [string, string | undefined][] = [
  ['llama:kigali@v1', 'llama:kigali@v1'],
  ['llama:kigali', 'llama:kigali@'],
  ['llama:team/kigali@2026.1', 'llama:team/kigali@2026.1'],
  ['llama', undefined],
  [':kigali@v1', undefined],
  ['llama:ki gali@v1', undefined],
  ['llama:kigali@v1@v2', undefined],
  ['', undefined],
];

for (const [text, expected] of names) {
  test(`model name "${text}" is parsed as ${expected ?? 'invalid'}`, (t) => {
    t.is(
      parseModelName(text).match(formatModelName, () => undefined),
      expected,
    );
  });
}

test('the model name parser never throws, and a parsed name is formatted to text that starts with the input', (t) => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      const parsed = parseModelName(text);
      return parsed.isErr() || formatModelName(parsed.value).startsWith(text);
    }),
  );
  t.pass();
});
