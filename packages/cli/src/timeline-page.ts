import type { TimelineDump } from '@canvasridge/telemetry';

/**
 * Renders event dumps as a self-contained HTML page with a lane for each process. The mouse wheel zooms,
 * dragging moves the time range, and the input field filters by request id, subject or event name.
 */
export function renderTimeline(dumps: readonly TimelineDump[]): string {
  const data = JSON.stringify(dumps).replaceAll('<', '\\u003c');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>canvasridge timeline</title>
<style>
  body { font: 13px system-ui, sans-serif; margin: 0; color: #222; }
  header { display: flex; gap: 1em; align-items: center; padding: 8px 12px; border-bottom: 1px solid #ccc; }
  input { width: 22em; }
  canvas { display: block; width: 100%; }
  #detail { padding: 8px 12px; white-space: pre-wrap; font-family: monospace; min-height: 4em; }
</style>
</head>
<body>
<header>
  <strong>canvasridge timeline</strong>
  <label>filter <input id="filter" placeholder="request id, subject or event"></label>
  <button id="reset">whole span</button>
  <span id="count"></span>
</header>
<canvas id="lanes"></canvas>
<div id="detail">Wheel zooms, drag moves, a click on a mark shows it and filters by its request.</div>
<script>
const dumps = ${data};
${PAGE_SCRIPT}
</script>
</body>
</html>
`;
}

const PAGE_SCRIPT = String.raw`
const canvas = document.getElementById('lanes');
const context = canvas.getContext('2d');
const filterField = document.getElementById('filter');
const detail = document.getElementById('detail');
const laneHeight = 64, labelWidth = 110, axisHeight = 24;
const lanes = dumps.map((dump) => ({ name: dump.process, events: dump.events }));
const all = lanes.flatMap((lane) => lane.events);
const first = Math.min(...all.map((event) => event.atMs));
const last = Math.max(...all.map((event) => event.atMs + (event.durationMs || 0)));
let from = first, to = Math.max(last, first + 1), marks = [], drag;

function colour(name) {
  let hash = 0;
  for (const letter of name) hash = (hash * 31 + letter.charCodeAt(0)) >>> 0;
  return 'hsl(' + (hash % 360) + ' 65% 45%)';
}
function matches(event) {
  const text = filterField.value.trim();
  if (text === '') return true;
  return [event.requestId, event.subject, event.name].some((value) => value && value.includes(text));
}
function draw() {
  const ratio = window.devicePixelRatio || 1;
  const width = window.innerWidth, height = axisHeight + lanes.length * laneHeight;
  canvas.width = width * ratio; canvas.height = height * ratio; canvas.style.height = height + 'px';
  context.setTransform(ratio, 0, 0, ratio, 0, 0);
  context.clearRect(0, 0, width, height);
  const scale = (width - labelWidth) / (to - from);
  const x = (time) => labelWidth + (time - from) * scale;
  const step = 10 ** Math.floor(Math.log10((to - from) / 4));
  context.font = '11px system-ui'; context.fillStyle = '#555';
  for (let time = Math.ceil((from - first) / step) * step; time <= to - first; time += step) {
    context.fillRect(x(first + time), axisHeight - 6, 1, height);
    context.fillText((time / 1000).toFixed(step < 1000 ? 3 : 0) + ' s', x(first + time) + 3, 12);
  }
  marks = []; let shown = 0;
  lanes.forEach((lane, index) => {
    const top = axisHeight + index * laneHeight;
    context.fillStyle = index % 2 ? '#f4f6f8' : '#fff'; context.globalAlpha = 0.85;
    context.fillRect(labelWidth, top, width, laneHeight); context.globalAlpha = 1;
    const rows = [];
    for (const event of lane.events) {
      if (!matches(event)) continue;
      shown += 1;
      const end = event.atMs + (event.durationMs || 0);
      if (end < from || event.atMs > to) continue;
      let row = rows.findIndex((until) => until <= event.atMs);
      if (row === -1 || row > 8) { row = rows.length > 8 ? shown % 9 : rows.length; }
      rows[row] = end;
      const left = Math.max(labelWidth, x(event.atMs)), size = Math.max(2, x(end) - left);
      context.fillStyle = colour(event.name);
      context.fillRect(left, top + 4 + row * 6, size, 5);
      marks.push({ left, right: left + size, top: top + 4 + row * 6, event, lane: lane.name });
    }
    context.fillStyle = '#fff'; context.fillRect(0, top, labelWidth, laneHeight);
    context.fillStyle = '#222'; context.fillText(lane.name, 8, top + 20);
  });
  document.getElementById('count').textContent = shown + ' of ' + all.length + ' events';
}
canvas.addEventListener('wheel', (event) => {
  event.preventDefault();
  const share = (event.offsetX - labelWidth) / (window.innerWidth - labelWidth);
  const centre = from + share * (to - from), factor = event.deltaY > 0 ? 1.25 : 0.8;
  from = centre - (centre - from) * factor; to = centre + (to - centre) * factor; draw();
}, { passive: false });
canvas.addEventListener('mousedown', (event) => { drag = { x: event.offsetX, from, to, moved: false }; });
window.addEventListener('mouseup', () => { drag = undefined; });
canvas.addEventListener('mousemove', (event) => {
  if (!drag) return;
  const shift = ((event.offsetX - drag.x) / (window.innerWidth - labelWidth)) * (drag.to - drag.from);
  if (Math.abs(event.offsetX - drag.x) > 3) drag.moved = true;
  from = drag.from - shift; to = drag.to - shift; draw();
});
canvas.addEventListener('click', (event) => {
  const hit = marks.filter((mark) => event.offsetX >= mark.left - 2 && event.offsetX <= mark.right + 2
    && event.offsetY >= mark.top - 1 && event.offsetY <= mark.top + 6)[0];
  if (!hit) return;
  detail.textContent = hit.lane + '\n' + JSON.stringify(hit.event, null, 2);
  if (hit.event.requestId) { filterField.value = hit.event.requestId.split('.')[0]; draw(); }
});
filterField.addEventListener('input', draw);
document.getElementById('reset').addEventListener('click', () => { from = first; to = last; filterField.value = ''; draw(); });
window.addEventListener('resize', draw);
draw();
`;
