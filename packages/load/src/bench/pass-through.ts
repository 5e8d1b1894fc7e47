import { serve } from '@hono/node-server';
import { Hono } from 'hono';
import { Agent, request } from 'undici';

/**
 * Baseline of the benchmark: a minimal proxy with hono and undici, without queues, limits, adapters or
 * ownership.
 * Run as `pass-through.js ENGINE_URL...`; prints its URL as one line of JSON. A request names its engine by
 * the index of the URL, in the header `x-engine`.
 */
const engines = process.argv.slice(2);
const agent = new Agent({ connections: 1024 });

const app = new Hono();
app.post('/v1/completions', async (context) => {
  const engine = engines[Number(context.req.header('x-engine'))];
  const upstream = await request(`${engine}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: await context.req.text(),
    dispatcher: agent,
  });
  const headers = { 'content-type': String(upstream.headers['content-type']) };
  return new Response(upstream.body, { status: upstream.statusCode, headers });
});

serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, ({ port }) => {
  process.stdout.write(`${JSON.stringify({ ready: true, url: `http://127.0.0.1:${port}` })}\n`);
});
