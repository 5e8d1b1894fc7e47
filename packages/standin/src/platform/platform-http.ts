import { Hono } from 'hono';
import * as z from 'zod';
import type { Standin } from '../standin.js';

const UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const NOT_FOUND = 404;

const publishSchema = z.object({ key: z.string(), value: z.string() });

/** Faults and lags that can be changed while the emulator runs; absent fields stay unchanged. */
export const faultSchema = z.strictObject({
  configuration: z.enum(['up', 'down', 'stale']).optional(),
  machineListLagMs: z.number().min(0).optional(),
  weightStore: z
    .strictObject({
      loadsPerSecond: z.number().positive().optional(),
      concurrency: z.int().min(1).optional(),
      loadMs: z.number().min(0).optional(),
    })
    .optional(),
  engine: z
    .strictObject({
      id: z.string(),
      restart: z.boolean().optional(),
      reachable: z.boolean().optional(),
      reportLagMs: z.number().min(0).optional(),
      cacheEventLoss: z.number().min(0).max(1).optional(),
      loadFailureShare: z.number().min(0).max(1).optional(),
    })
    .optional(),
  service: z
    .strictObject({
      name: z.string(),
      reachable: z.boolean().optional(),
      breakAfterExecution: z.boolean().optional(),
      latencyMs: z.number().min(0).optional(),
    })
    .optional(),
  machine: z
    .strictObject({
      id: z.string(),
      role: z.enum(['entry', 'back-end']),
      state: z.enum(['live', 'leaving', 'gone']),
      gossip: z.string().optional(),
    })
    .optional(),
});

export type FaultChange = z.infer<typeof faultSchema>;

/** HTTP interface of the configuration service, the machine list, fault injection, records and timeline. */
export function platformApplication(standin: Standin): Hono {
  const app = new Hono();
  app.get('/values/:key', async (context) => {
    const key = context.req.param('key');
    const { after, wait } = context.req.query();
    const { configuration } = standin;
    const result =
      after === undefined
        ? configuration.get(key)
        : await configuration.watch(key, Number(after), Number(wait ?? '1000'));
    if (result.isOk()) return context.json(result.value);
    const status = { unavailable: UNAVAILABLE, 'rate-limited': TOO_MANY_REQUESTS, missing: NOT_FOUND }[
      result.error.kind
    ];
    return Response.json({ reason: result.error.kind }, { status });
  });
  app.get('/machines', (context) => context.json(standin.machines.list()));
  app.post('/operator/publish', async (context) => {
    const parsed = publishSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!parsed.success) return Response.json({ reason: parsed.error.message }, { status: 400 });
    const published = standin.configuration.publish(parsed.data.key, parsed.data.value);
    return published.isOk()
      ? context.json({ published: true })
      : Response.json(published.error, { status: 413 });
  });
  app.post('/operator/faults', async (context) => {
    const parsed = faultSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!parsed.success) return Response.json({ reason: parsed.error.message }, { status: 400 });
    standin.applyFault(parsed.data);
    return context.json({ applied: true });
  });
  app.get('/records', (context) => context.json(standin.records()));
  app.get('/timeline', (context) => context.json(standin.telemetry.ring.dump()));
  return app;
}
