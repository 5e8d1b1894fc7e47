import test from 'ava';
import { MemoryWatch, type MemoryUse } from '../src/index.js';

const MB = 1024 * 1024;
const LIMIT_MB = 250;
const HEAP_LIMIT_MB = 128;

function setup(): {
  lines: string[];
  passMs: (ms: number) => void;
  check: (residentMb: number, heapMb: number) => void;
} {
  const lines: string[] = [];
  let nowMs = 0;
  let use: MemoryUse = { residentBytes: 0, heapBytes: 0, heapLimitBytes: HEAP_LIMIT_MB * MB };
  const watch = new MemoryWatch({
    name: 'n1',
    limitBytes: LIMIT_MB * MB,
    clock: { now: () => nowMs },
    telemetry: {
      event: (level, name, subject, fields) => {
        lines.push(`${level} ${name} ${subject} ${fields?.['residentMb']}/${fields?.['heapMb']}`);
      },
    },
    measure: () => use,
  });
  const check = (residentMb: number, heapMb: number): void => {
    use = { ...use, residentBytes: residentMb * MB, heapBytes: heapMb * MB };
    watch.check();
  };
  return { lines, check, passMs: (ms) => (nowMs += ms) };
}

test('memory is logged while resident memory or the heap is close to its limit', (t) => {
  const { lines, check, passMs } = setup();
  check(199, 100);
  t.deepEqual(lines, []);
  check(201, 100);
  t.deepEqual(lines, ['warn process.memory n1 201/100']);
  passMs(5000);
  check(100, 103);
  t.is(lines.length, 2);
});

test('high use of memory is logged at most once in five seconds', (t) => {
  const { lines, check, passMs } = setup();
  for (let second = 0; second < 10; second += 1) {
    check(240, 120);
    passMs(1000);
  }
  t.is(lines.length, 2);
});
