import { Hono } from 'hono';
import * as z from 'zod';
import type { Standin } from '../standin.js';

const UNAVAILABLE = 503;
const TOO_MANY = 429;
const NOT_FOUND = 404;

const publishSchema = z.object({ key: z.string(), value: z.string() });

/** Faults and lags that can be switched while the emulator runs; absent fields stay as they are. */
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

export type Fault = z.infer<typeof faultSchema>;

/** HTTP of configuration service, machine list, fault switches and records. */
export function platformApplication(standin: Standin): Hono {
  const app = new Hono();
  app.get('/values/:key', async (context) => {
    const key = context.req.param('key');
    const { after, wait } = context.req.query();
    const { configuration } = standin;
    const answer =
      after === undefined
        ? configuration.get(key)
        : await configuration.watch(key, Number(after), Number(wait ?? '1000'));
    if (answer.isOk()) return context.json(answer.value);
    const status = { unavailable: UNAVAILABLE, 'rate-limited': TOO_MANY, missing: NOT_FOUND }[
      answer.error.kind
    ];
    return Response.json({ reason: answer.error.kind }, { status });
  });
  app.get('/machines', (context) => context.json(standin.machines.list()));
  app.post('/operator/publish', async (context) => {
    const checked = publishSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!checked.success) return Response.json({ reason: checked.error.message }, { status: 400 });
    const published = standin.configuration.publish(checked.data.key, checked.data.value);
    return published.isOk()
      ? context.json({ published: true })
      : Response.json(published.error, { status: 413 });
  });
  app.post('/operator/faults', async (context) => {
    const checked = faultSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!checked.success) return Response.json({ reason: checked.error.message }, { status: 400 });
    standin.applyFault(checked.data);
    return context.json({ applied: true });
  });
  app.get('/records', (context) => context.json(standin.records()));
  app.get('/timeline', (context) => context.json(standin.telemetry.ring.dump()));
  return app;
}
