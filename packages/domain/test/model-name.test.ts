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
  test(`model name "${text}" is ${expected ?? 'refused'}`, (t) => {
    t.is(
      parseModelName(text).match(formatModelName, () => undefined),
      expected,
    );
  });
}

test('no text makes the parser throw, and what it accepts it writes back', (t) => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      const parsed = parseModelName(text);
      return parsed.isErr() || formatModelName(parsed.value).startsWith(text);
    }),
  );
  t.pass();
});
