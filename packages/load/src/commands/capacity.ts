import { readFile, writeFile } from 'node:fs/promises';
import { ConfigurationIndex } from '@canvasridge/domain';
import { ExitCode, UsageError, type CommandDefinition } from '@canvasridge/settings';
import { largeConfiguration, measureDecisionCost } from '../bench/decision-cost.js';
import { measureHeapAfterGc, runHollowNodes, type HollowMeasurement } from '../scale/hollow-run.js';

/** Required size of the deployment. */
const REQUIRED_NODES = 370;
const REQUIRED_RUNNERS = 600;
const REQUIRED_ADAPTERS = 42_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const START_MARKER = '<!-- measured tables: start -->';
const END_MARKER = '<!-- measured tables: end -->';

export const capacityCommand: CommandDefinition = {
  name: 'capacity',
  summary: 'Measures slopes with hollow nodes and updates the tables in docs/CAPACITY.md.',
  options: {
    nodes: { type: 'string', help: 'numbers of nodes, separated by commas', default: '9,18,36,50' },
    'calm-seconds': {
      type: 'string',
      help: 'virtual seconds without faults that are measured',
      default: '120',
    },
    file: { type: 'string', help: 'page to update', default: 'docs/CAPACITY.md', placeholder: 'FILE' },
  },
  run: async (input) => {
    const counts = (input.text('nodes') ?? '').split(',').map(Number);
    if (
      counts.length < 3 ||
      counts.some((count) => !Number.isInteger(count) || count < 2 || count > REQUIRED_NODES)
    ) {
      throw new UsageError(
        `--nodes: found "${input.text('nodes') ?? ''}", expected three or more from 2 to ${REQUIRED_NODES}`,
      );
    }
    const measurements: HollowMeasurement[] = [];
    for (const nodes of counts) {
      const calmSeconds = input.number('calm-seconds', 10, 100_000);
      measurements.push(await runHollowNodes({ nodes, ...scaleToNodes(nodes), seed: 1, calmSeconds }));
    }
    const tables = [hollowTable(measurements), slopeTable(measurements), fixedCostTable()].join('\n\n');
    const file = input.text('file') ?? '';
    const page = await readFile(file, 'utf8');
    const start = page.indexOf(START_MARKER);
    const end = page.indexOf(END_MARKER);
    if (start === -1 || end === -1) throw new UsageError(`--file: ${file} lacks the marks around its tables`);
    await writeFile(file, `${page.slice(0, start)}${START_MARKER}\n\n${tables}\n\n${page.slice(end)}`);
    process.stdout.write(`${tables}\n`);
    return ExitCode.success;
  },
};

/** Numbers of runners and adapters for this many nodes, in proportion to the required size. */
function scaleToNodes(nodes: number): { readonly runners: number; readonly adapters: number } {
  return {
    runners: Math.round((REQUIRED_RUNNERS * nodes) / REQUIRED_NODES),
    adapters: Math.round((REQUIRED_ADAPTERS * nodes) / REQUIRED_NODES),
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

/** Least-squares lines through the measured points, extrapolated to the required number of nodes. */
function slopeTable(measurements: readonly HollowMeasurement[]): string {
  const rows = COLUMNS.map((column) => {
    const line = fitLine(measurements.map((item) => ({ x: item.nodes, y: column.value(item) })));
    const atRequiredSize = line.intercept + line.slope * REQUIRED_NODES;
    return [
      column.name,
      formatNumber(line.slope),
      formatNumber(line.intercept),
      formatNumber(atRequiredSize),
      formatNumber(line.error),
    ];
  });
  return table(['figure', 'per node', 'at 0', `extrapolated to ${REQUIRED_NODES}`, 'largest residual'], rows);
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

/** Costs that do not depend on the number of nodes, measured once at the required size. */
function fixedCostTable(): string {
  const before = measureHeapAfterGc();
  const index = new ConfigurationIndex(1, largeConfiguration());
  const heap = (measureHeapAfterGc() - before) / BYTES_PER_MEGABYTE;
  return table(
    ['figure', 'measured at full size'],
    [
      [
        `configuration of ${index.configuration.adapters.length} adapters and ${REQUIRED_RUNNERS} engines, heap MB`,
        formatNumber(heap),
      ],
      ['one routing decision at that size, µs', formatNumber(measureDecisionCost())],
    ],
  );
}

function table(head: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(3)));
}
