import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Header, parseModelName, type AdapterRef, type EngineOrder } from '@canvasridge/domain';
import { Hono } from 'hono';
import * as z from 'zod';
import type { EngineEmulator, SubmitRefusal } from './engine-emulator.js';
import { tokenText } from './prompt.js';
import type { Sequence, SequenceListener } from './sequence.js';

interface Bindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

const adapterVersionFields = { adapter: z.string(), version: z.string() };
const orderSchema = z.object({
  fence: z.int().min(0),
  order: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('claim'), holder: z.string(), leaseMs: z.number() }),
    z.object({ kind: z.literal('renew'), holder: z.string(), leaseMs: z.number() }),
    z.object({ kind: z.literal('load'), ...adapterVersionFields }),
    z.object({ kind: z.literal('unload'), ...adapterVersionFields }),
    z.object({ kind: z.literal('role'), role: z.enum(['serve', 'drain']) }),
  ]),
});

const bodySchema = z.object({
  model: z.string(),
  prompt: z.string().optional(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).optional(),
  max_tokens: z.int().min(1).max(100_000).default(16),
  stream: z.boolean().default(false),
});
type CompletionBody = z.infer<typeof bodySchema>;

const REFUSAL_STATUS_CODES: Readonly<Record<SubmitRefusal['kind'], number>> = {
  'stale-fence': 412,
  'adapter-not-loaded': 409,
  full: 429,
  draining: 503,
};

/**
 * HTTP interface of an emulated engine: OpenAI-compatible completions and chat, fenced orders, status
 * reports.
 */
export function engineListener(
  engine: EngineEmulator,
): (request: IncomingMessage, response: ServerResponse) => void {
  const app = new Hono<{ Bindings: Bindings }>();
  app.use('*', async (context, next) => {
    if (!engine.reachable) {
      context.env.incoming.socket.destroy();
      return RESPONSE_ALREADY_SENT;
    }
    await next();
    return undefined;
  });
  const generate = async (env: Bindings, text: string, chat: boolean): Promise<Response> => {
    const checked = bodySchema.safeParse(parseJson(text));
    if (!checked.success) return Response.json({ reason: checked.error.message }, { status: 400 });
    return startGeneration(engine, env, checked.data, chat);
  };
  app.post('/v1/completions', async (context) => generate(context.env, await context.req.text(), false));
  app.post('/v1/chat/completions', async (context) => generate(context.env, await context.req.text(), true));
  app.get('/v1/requests/:id/stream', (context) => {
    const sequence = engine.find(context.req.param('id'));
    if (sequence === undefined) return Response.json({ reason: 'unknown request' }, { status: 404 });
    const after = Number(context.req.query('after') ?? '-1');
    streamResponse(engine, sequence, context.env.outgoing, after, false);
    return RESPONSE_ALREADY_SENT;
  });
  app.delete('/v1/requests/:id', (context) =>
    context.json({ cancelled: engine.cancel(context.req.param('id')) }),
  );
  app.get('/v1/kv/export', (context) => context.json({ blocks: engine.exportCache() }));
  app.post('/v1/kv/import', async (context) => {
    const checked = z.object({ blocks: z.array(z.int()) }).safeParse(await context.req.json());
    if (!checked.success) return Response.json({ reason: checked.error.message }, { status: 400 });
    engine.importCache(checked.data.blocks);
    return context.json({ imported: checked.data.blocks.length });
  });
  app.get('/control/report', (context) => context.json(engine.report()));
  app.get('/control/cache-events', (context) =>
    context.json({ events: engine.cacheEvents(Number(context.req.query('after') ?? '0')) }),
  );
  app.post('/control/orders', async (context) => {
    const checked = orderSchema.safeParse(await context.req.json().catch(() => undefined));
    if (!checked.success) return Response.json({ reason: checked.error.message }, { status: 400 });
    return context.json(await engine.order(checked.data.fence, checked.data.order as EngineOrder));
  });
  const listener = getRequestListener(app.fetch);
  return (request, response) => void listener(request, response);
}

function startGeneration(
  engine: EngineEmulator,
  env: Bindings,
  body: CompletionBody,
  chat: boolean,
): Response {
  const { headers } = env.incoming;
  // The body may name a model without a version; the header then has the version that the node resolved it
  // to.
  const model = parseModelName(String(headers[Header.model] ?? body.model));
  if (model.isErr())
    return Response.json({ reason: `model: expected ${model.error.expected}` }, { status: 400 });
  const submitted = engine.submit({
    requestId: String(headers[Header.requestId] ?? ''),
    model: model.value,
    prompt: promptOf(body),
    maxTokens: body.max_tokens,
    priority: Number(headers[Header.priority] ?? 0),
    fence: Number(headers[Header.fence] ?? 0),
  });
  if ('kind' in submitted) return refusalResponse(submitted);
  env.outgoing.setHeader(Header.servedModel, submitted.model);
  env.outgoing.setHeader(Header.servedEngine, engine.identity.id);
  if (body.stream) streamResponse(engine, submitted, env.outgoing, -1, chat);
  else sendWholeResponse(engine, submitted, env.outgoing, model.value, chat);
  return RESPONSE_ALREADY_SENT;
}

function promptOf(body: CompletionBody): string {
  return (
    body.prompt ?? (body.messages ?? []).map((message) => `${message.role}: ${message.content}`).join('\n')
  );
}

function refusalResponse(reason: SubmitRefusal): Response {
  const currentFence = reason.kind === 'stale-fence' ? reason.currentFence : undefined;
  return Response.json({ reason: reason.kind, currentFence }, { status: REFUSAL_STATUS_CODES[reason.kind] });
}

/** Streams server-sent events, one for each token with the token's index as id, and `[DONE]` at the end. */
function streamResponse(
  engine: EngineEmulator,
  sequence: Sequence,
  response: ServerResponse,
  afterIndex: number,
  chat: boolean,
): void {
  const writer = new EventStreamWriter(sequence, response, afterIndex, chat);
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
  response.flushHeaders();
  response.on('close', () => engine.detach(sequence, writer));
  sequence.attach(writer);
}

/** Writes the tokens of a generation as server-sent events. */
class EventStreamWriter implements SequenceListener {
  readonly #sequence: Sequence;
  readonly #response: ServerResponse;
  readonly #chat: boolean;
  #nextIndex: number;

  constructor(sequence: Sequence, response: ServerResponse, afterIndex: number, chat: boolean) {
    this.#sequence = sequence;
    this.#response = response;
    this.#nextIndex = afterIndex + 1;
    this.#chat = chat;
  }

  onTokens(last: number): void {
    let text = '';
    for (; this.#nextIndex <= last; this.#nextIndex += 1) text += this.#event(this.#nextIndex);
    if (text !== '') this.#response.write(text);
  }

  onEnd(): void {
    const id = this.#sequence.totalTokens;
    this.#response.end(this.#nextIndex <= id ? `id: ${id}\ndata: [DONE]\n\n` : '');
  }

  onBroken(): void {
    this.#response.destroy();
  }

  #event(index: number): string {
    const { requestId, model, promptHash } = this.#sequence;
    const text = tokenText(promptHash, index);
    const choice = this.#chat ? `"delta":{"content":"${text}"}` : `"text":"${text}"`;
    return `id: ${index}\ndata: {"id":"${requestId}","model":"${model}","choices":[{"index":0,${choice}}]}\n\n`;
  }
}

/** Sends one JSON document once the generation has ended. */
function sendWholeResponse(
  engine: EngineEmulator,
  sequence: Sequence,
  response: ServerResponse,
  model: AdapterRef,
  chat: boolean,
): void {
  const listener: SequenceListener = {
    onTokens: () => undefined,
    onEnd: () => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(completionDocument(sequence, model, chat)));
    },
    onBroken: () => response.destroy(),
  };
  response.on('close', () => engine.detach(sequence, listener));
  sequence.attach(listener);
}

function completionDocument(sequence: Sequence, model: AdapterRef, chat: boolean): unknown {
  let text = '';
  for (let index = 0; index < sequence.totalTokens; index += 1) text += tokenText(sequence.promptHash, index);
  const choice = chat ? { message: { role: 'assistant', content: text } } : { text };
  return {
    id: sequence.requestId,
    object: chat ? 'chat.completion' : 'text_completion',
    model: `${model.base}:${model.adapter}@${model.version}`,
    choices: [{ index: 0, finish_reason: 'length', ...choice }],
    usage: { completion_tokens: sequence.totalTokens },
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
