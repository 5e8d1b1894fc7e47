import { readFile, writeFile } from 'node:fs/promises';
import { ConfigurationIndex } from '@canvasridge/domain';
import { ExitCode, UsageError, type CommandDefinition } from '@canvasridge/settings';
import { largeConfiguration, measureDecisionCost } from '../bench/decision-cost.js';
import { collectHeap, runHollow, type HollowMeasurement } from '../scale/hollow-run.js';

const AIM_NODES = 370;
const AIM_RUNNERS = 600;
const AIM_ADAPTERS = 42_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const START_MARK = '<!-- measured tables: start -->';
const END_MARK = '<!-- measured tables: end -->';

export const capacityCommand: CommandDefinition = {
  name: 'capacity',
  summary: 'Measures slopes with hollow nodes and writes the tables of docs/CAPACITY.md anew.',
  options: {
    nodes: { type: 'string', help: 'numbers of nodes, separated by commas', default: '9,18,36,50' },
    'calm-seconds': { type: 'string', help: 'virtual seconds of calm that are measured', default: '120' },
    file: { type: 'string', help: 'page to update', default: 'docs/CAPACITY.md', placeholder: 'FILE' },
  },
  run: async (input) => {
    const counts = (input.text('nodes') ?? '').split(',').map(Number);
    if (
      counts.length < 3 ||
      counts.some((count) => !Number.isInteger(count) || count < 2 || count > AIM_NODES)
    ) {
      throw new UsageError(
        `--nodes: found "${input.text('nodes') ?? ''}", expected three or more from 2 to ${AIM_NODES}`,
      );
    }
    const measurements: HollowMeasurement[] = [];
    for (const nodes of counts) {
      const calmSeconds = input.number('calm-seconds', 10, 100_000);
      measurements.push(await runHollow({ nodes, ...inProportion(nodes), seed: 1, calmSeconds }));
    }
    const tables = [hollowTable(measurements), slopeTable(measurements), soloTable()].join('\n\n');
    const file = input.text('file') ?? '';
    const page = await readFile(file, 'utf8');
    const start = page.indexOf(START_MARK);
    const end = page.indexOf(END_MARK);
    if (start === -1 || end === -1) throw new UsageError(`--file: ${file} lacks the marks around its tables`);
    await writeFile(file, `${page.slice(0, start)}${START_MARK}\n\n${tables}\n\n${page.slice(end)}`);
    process.stdout.write(`${tables}\n`);
    return ExitCode.success;
  },
};

function inProportion(nodes: number): { readonly runners: number; readonly adapters: number } {
  return {
    runners: Math.round((AIM_RUNNERS * nodes) / AIM_NODES),
    adapters: Math.round((AIM_ADAPTERS * nodes) / AIM_NODES),
  };
}

interface Column {
  readonly name: string;
  readonly value: (item: HollowMeasurement) => number;
}

const COLUMNS: readonly Column[] = [
  { name: 'B/s mean', value: (item) => item.controlBytesPerSecondMean },
  { name: 'B/s worst', value: (item) => item.controlBytesPerSecondWorst },
  { name: 'messages/s', value: (item) => item.controlMessagesPerSecondMean },
  { name: 'CPU % worst', value: (item) => item.controlCpuPercentWorst },
  { name: 'heap MB', value: (item) => item.controlHeapMegabytesWorst },
  { name: 'crash known, s', value: (item) => item.detectionSecondsP99 },
  { name: 'revision, s', value: (item) => item.configurationSecondsMax },
  { name: 'reads/s peak', value: (item) => item.configurationReadsPerSecond },
  { name: 'engines moved', value: (item) => item.enginesMovedPerFailure },
];

function hollowTable(measurements: readonly HollowMeasurement[]): string {
  const rows = measurements.map((item) => [
    item.nodes,
    item.runners,
    ...COLUMNS.map((column) => column.value(item)),
  ]);
  return table(['nodes', 'runners', ...COLUMNS.map((column) => column.name)], rows);
}

/** Least-squares lines through the measured points, carried on to the aimed number of nodes. */
function slopeTable(measurements: readonly HollowMeasurement[]): string {
  const rows = COLUMNS.map((column) => {
    const line = fitLine(measurements.map((item) => ({ x: item.nodes, y: column.value(item) })));
    const atAim = line.intercept + line.slope * AIM_NODES;
    return [column.name, digits(line.slope), digits(line.intercept), digits(atAim), digits(line.error)];
  });
  return table(['figure', 'per node', 'at 0', `extrapolated to ${AIM_NODES}`, 'largest residual'], rows);
}

function fitLine(points: readonly { readonly x: number; readonly y: number }[]): {
  readonly slope: number;
  readonly intercept: number;
  readonly error: number;
} {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
  const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
  const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const error = Math.max(...points.map((point) => Math.abs(point.y - (intercept + slope * point.x))));
  return { slope, intercept, error };
}

/** What does not grow with the number of nodes, measured once at the aimed size. */
function soloTable(): string {
  const before = collectHeap();
  const index = new ConfigurationIndex(1, largeConfiguration());
  const heap = (collectHeap() - before) / BYTES_PER_MEGABYTE;
  return table(
    ['figure', 'measured at full size'],
    [
      [
        `configuration of ${index.configuration.adapters.length} adapters and ${AIM_RUNNERS} engines, heap MB`,
        digits(heap),
      ],
      ['one routing decision at that size, µs', digits(measureDecisionCost())],
    ],
  );
}

function table(head: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
}

function digits(value: number): string {
  return String(Number(value.toPrecision(3)));
}
