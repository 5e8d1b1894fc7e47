/** One line of a chart. Charts are SVG text, so that a report needs nothing but a browser. */
export interface Series {
  readonly name: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
}

/** Contents of a line chart. */
export interface LineChart {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
  /** Draws a horizontal line at this value, below which all values should stay. */
  readonly limit?: number;
}

const WIDTH = 560;
const HEIGHT = 300;
const MARGIN = { left: 64, right: 16, top: 32, bottom: 44 } as const;
const TICKS = 5;
const COLOURS = ['#1668b8', '#c23b22', '#2e8540', '#8a4fb5', '#b8860b', '#555555'] as const;

/** Renders a line chart with axes, ticks and a legend. */
export function lineChart(chart: LineChart): string {
  const points = chart.series.flatMap((series) => series.points);
  const xMaximum = roundUpToTick(Math.max(1e-9, ...points.map((point) => point.x)));
  const yMaximum = roundUpToTick(Math.max(1e-9, chart.limit ?? 0, ...points.map((point) => point.y)));
  const x = (value: number): number =>
    MARGIN.left + (value / xMaximum) * (WIDTH - MARGIN.left - MARGIN.right);
  const y = (value: number): number =>
    HEIGHT - MARGIN.bottom - (value / yMaximum) * (HEIGHT - MARGIN.top - MARGIN.bottom);
  const parts = [
    `<text x="${MARGIN.left}" y="18" font-weight="bold">${escapeText(chart.title)}</text>`,
    ...ticks(xMaximum).map((value) => label(x(value), HEIGHT - MARGIN.bottom + 16, 'middle', value)),
    ...ticks(yMaximum).map(
      (value) => gridLine(y(value)) + label(MARGIN.left - 6, y(value) + 4, 'end', value),
    ),
    `<text x="${WIDTH / 2}" y="${HEIGHT - 8}" text-anchor="middle">${escapeText(chart.xLabel)}</text>`,
    `<text transform="translate(14 ${HEIGHT / 2}) rotate(-90)" text-anchor="middle">${escapeText(chart.yLabel)}</text>`,
    ...(chart.limit === undefined ? [] : [limitLine(y(chart.limit))]),
    ...chart.series.map((series, index) => drawSeries(series, index, x, y)),
  ];
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" height="${HEIGHT}">${parts.join('')}</svg>`;
}

/** Renders a self-contained HTML page from charts and other blocks of HTML. */
export function reportPage(title: string, blocks: readonly string[]): string {
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeText(title)}</title>
<style>
body { font: 14px system-ui, sans-serif; margin: 24px; color: #222; }
svg { font: 11px system-ui, sans-serif; margin: 0 24px 24px 0; background: #fff; }
table { border-collapse: collapse; margin-bottom: 24px; } td, th { padding: 3px 10px; text-align: right; border-bottom: 1px solid #ddd; }
</style></head>
<body><h1>${escapeText(title)}</h1>
${blocks.join('\n')}
</body></html>
`;
}

export function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

function drawSeries(
  series: Series,
  index: number,
  x: (value: number) => number,
  y: (value: number) => number,
): string {
  const colour = COLOURS[index % COLOURS.length] ?? '#000';
  const path = series.points.map((point) => `${x(point.x).toFixed(1)},${y(point.y).toFixed(1)}`).join(' ');
  const legendY = MARGIN.top + 14 * index;
  return (
    `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="1.6"/>` +
    `<text x="${WIDTH - MARGIN.right}" y="${legendY}" text-anchor="end" fill="${colour}">${escapeText(series.name)}</text>`
  );
}

function gridLine(at: number): string {
  return `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${at}" y2="${at}" stroke="#e4e4e4"/>`;
}

function limitLine(at: number): string {
  return `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${at}" y2="${at}" stroke="#c23b22" stroke-dasharray="5 4"/>`;
}

function label(atX: number, atY: number, anchor: 'middle' | 'end', value: number): string {
  return `<text x="${atX}" y="${atY}" text-anchor="${anchor}" fill="#555">${Number(value.toPrecision(3))}</text>`;
}

function ticks(maximum: number): number[] {
  return Array.from({ length: TICKS + 1 }, (_unused, index) => (maximum * index) / TICKS);
}

/** Rounds up to the next value of the form 1, 2, 2.5 or 5 times a power of ten. */
function roundUpToTick(value: number): number {
  const power = 10 ** Math.floor(Math.log10(value));
  const steps = [1, 2, 2.5, 5, 10];
  return (steps.find((step) => step * power >= value) ?? 10) * power;
}
