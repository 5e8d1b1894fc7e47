import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { ExitCode, UsageError, type CommandDefinition } from '@canvasridge/settings';
import { lineChart, reportPage } from '../report/charts.js';
import { runHollowNodes, type HollowMeasurement } from '../scale/hollow-run.js';

/** Required size of the deployment. Fewer nodes get runners and adapters in proportion. */
const REQUIRED = { nodes: 370, runners: 600, adapters: 42_000 } as const;
/**
 * Limits of the measurements, beyond which the command fails. Bytes and reads are per second, processor time
 * is in percent of a core, heap in MB, detection and configuration in seconds.
 */
const LIMITS = { bytes: 2048, cpu: 4.6, heap: 32, detection: 10, configuration: 10, reads: 2000 } as const;

export const scaleCommand: CommandDefinition = {
  name: 'scale',
  summary:
    'Runs hollow nodes (the real control code, no callers) in virtual time and measures what control costs.',
  options: {
    nodes: { type: 'string', help: 'numbers of nodes, separated by commas', default: '9,18,36,50' },
    runners: { type: 'string', help: 'engines; by default 600 for 370 nodes, in proportion' },
    adapters: {
      type: 'string',
      help: 'adapters whose activity changes are published; by default 42,000 for 370 nodes, in proportion',
    },
    'calm-seconds': {
      type: 'string',
      help: 'virtual seconds without faults that are measured',
      default: '120',
    },
    seed: { type: 'string', help: 'seed', default: '1' },
    report: { type: 'string', help: 'write an HTML report with plots into this folder', placeholder: 'DIR' },
    json: { type: 'boolean', help: 'print only the JSON lines' },
  },
  run: async (input) => {
    const counts = (input.text('nodes') ?? '').split(',').map(Number);
    if (counts.some((count) => !Number.isInteger(count) || count < 2 || count > 1000)) {
      throw new UsageError(
        `--nodes: found "${input.text('nodes') ?? ''}", expected whole numbers from 2 to 1000`,
      );
    }
    const sizeFor = (name: 'runners' | 'adapters', nodes: number): number =>
      input.text(name) === undefined
        ? Math.round((REQUIRED[name] * nodes) / REQUIRED.nodes)
        : input.number(name, 1, 100_000);
    const measurements: HollowMeasurement[] = [];
    for (const nodes of counts) {
      const measured = await runHollowNodes({
        nodes,
        runners: sizeFor('runners', nodes),
        adapters: sizeFor('adapters', nodes),
        seed: input.number('seed', 0, 2 ** 31),
        calmSeconds: input.number('calm-seconds', 10, 100_000),
      });
      measurements.push(measured);
      process.stdout.write(`${JSON.stringify(measured)}\n`);
    }
    const folder = input.text('report');
    if (folder !== undefined) await writeReport(folder, measurements);
    return measurements.every(isWithinLimits) ? ExitCode.success : ExitCode.failure;
  },
};

function isWithinLimits(measured: HollowMeasurement): boolean {
  return (
    measured.controlBytesPerSecondWorst <= LIMITS.bytes &&
    measured.controlCpuPercentWorst <= LIMITS.cpu &&
    measured.controlHeapMegabytesWorst <= LIMITS.heap &&
    measured.detectionSecondsP99 <= LIMITS.detection &&
    measured.configurationSecondsMax <= LIMITS.configuration &&
    measured.configurationReadsPerSecond <= LIMITS.reads &&
    measured.falseRemovals === 0
  );
}

async function writeReport(folder: string, measurements: readonly HollowMeasurement[]): Promise<void> {
  const chart = (
    title: string,
    unit: string,
    value: (item: HollowMeasurement) => number,
    limit: number,
  ): string =>
    lineChart({
      title,
      xLabel: 'nodes',
      yLabel: unit,
      series: [{ name: 'measured', points: measurements.map((item) => ({ x: item.nodes, y: value(item) })) }],
      limit,
    });
  const charts = [
    chart(
      'Control traffic, worst node',
      'bytes a second',
      (item) => item.controlBytesPerSecondWorst,
      LIMITS.bytes,
    ),
    chart(
      'Control processor time, worst node',
      '% of a core',
      (item) => item.controlCpuPercentWorst,
      LIMITS.cpu,
    ),
    chart(
      'Crash known everywhere, 99 in 100',
      'seconds',
      (item) => item.detectionSecondsP99,
      LIMITS.detection,
    ),
    chart(
      'Configuration in force on the last node',
      'seconds',
      (item) => item.configurationSecondsMax,
      LIMITS.configuration,
    ),
  ];
  await mkdir(folder, { recursive: true });
  await writeFile(
    join(folder, 'scale.html'),
    reportPage('Growth of control with the number of nodes', charts),
  );
}
