import test, { type ExecutionContext } from 'ava';
import { Harness, type RouteOverrides } from './harness.js';
import { chunk, streamHead, success, type RawResponder } from './raw-backend.js';

async function withHarness(
  t: ExecutionContext,
  changes: RouteOverrides,
  responders: readonly RawResponder[],
  run: (harness: Harness) => Promise<void>,
): Promise<void> {
  const harness = await Harness.start(changes, responders);
  t.teardown(() => harness.stop());
  await run(harness);
}

const wholeResponse: RawResponder = (socket, id) => socket.write(success(id, 'answer'));
const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

/** Backend faults after which the request may have run. */
const backendFaults: readonly (readonly [name: string, answer: RawResponder])[] = [
  ['closes without a response', (socket) => socket.end()],
  ['resets', (socket) => socket.resetAndDestroy()],
  ['sends bytes that are no HTTP response', (socket) => socket.end('garbage\r\n\r\n')],
  [
    'closes within a body with Content-Length',
    (socket, id) => socket.end(success(id, 'answer').slice(0, -3)),
  ],
  [
    'resets within a body without Content-Length',
    (socket, id) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\nconnection: close\r\n\r\nans`,
      );
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
  ],
  [
    'resets right after the bytes of a body without Content-Length',
    (socket, id) => {
      const head = `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\nconnection: close\r\n\r\n`;
      // Written and reset in the same turn of the event loop, so that both arrive together.
      socket.write(`${head}ans`, () => socket.resetAndDestroy());
    },
  ],
  [
    'closes within a chunked body with Connection: close',
    (socket, id) => {
      socket.write(streamHead(id).replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
      socket.end(chunk('ans'));
    },
  ],
  [
    'resets within a chunked body with Connection: close',
    (socket, id) => {
      socket.write(streamHead(id).replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n') + chunk('ans'));
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
  ],
  ['answers another request', (socket) => socket.write(success('another', 'answer'))],
  [
    'sends no response stamp',
    (socket, id) => socket.write(success(id, 'answer').replace('response-stamp', 'x')),
  ],
  [
    'sends an encoded body',
    (socket, id) => socket.write(success(id, 'answer', 'content-encoding: gzip\r\n')),
  ],
];

for (const [name, answer] of backendFaults) {
  test(`a backend that ${name}: an at-most-once request is answered with an unknown outcome`, async (t) => {
    await withHarness(t, { kind: 'at-most-once' }, [answer, answer], async (harness) => {
      const seen = await harness.call('a1');
      t.is(seen.status, 502);
      t.is(harness.sends, 1, 'the request was sent once');
    });
  });

  test(`a backend that ${name}: an idempotent request is answered by another backend`, async (t) => {
    let failed = false;
    const once: RawResponder = (socket, id, head) => {
      if (failed) wholeResponse(socket, id, head);
      else {
        failed = true;
        answer(socket, id, head);
      }
    };
    await withHarness(t, { kind: 'idempotent' }, [once, once], async (harness) => {
      const seen = await harness.call('a1');
      t.is(seen.status, 200);
      t.is(seen.body, 'answer');
      t.true(seen.whole);
      t.is(harness.sends, 2);
    });
  });
}

/**
 * Timeout of a route whose backend does not respond. It is long enough for a busy machine to send the
 * request first: otherwise the response would say that it has not run.
 */
const SILENT_ROUTE_MS = 1500;

test('a response without Content-Length ends with its connection', async (t) => {
  const unframed: RawResponder = (socket, id) =>
    socket.end(
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\nconnection: close\r\n\r\nanswer`,
    );
  await withHarness(t, { kind: 'at-most-once' }, [unframed], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.body, 'answer');
    t.true(seen.whole);
  });
});

test('a request that a backend refused without running it is sent to another, even if it may run at most once', async (t) => {
  let refused = false;
  const answer: RawResponder = (socket, id, head) => {
    if (refused) {
      wholeResponse(socket, id, head);
      return;
    }
    refused = true;
    socket.write('HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
  };
  await withHarness(t, { kind: 'at-most-once', attempts: 1 }, [answer, answer], async (harness) => {
    t.is((await harness.call('a1')).status, 200);
  });
});

test('if all backends refuse, the client is told that nothing ran and when to retry', async (t) => {
  const busy: RawResponder = (socket) =>
    socket.write('HTTP/1.1 503 Busy\r\nnot-run: 1\r\nresponse-stamp: s\r\ncontent-length: 0\r\n\r\n');
  await withHarness(t, { kind: 'at-most-once' }, [busy, busy], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.status, 503);
    t.true(Number(seen.headers['retry-after']) > 0);
    t.is(seen.headers['response-stamp'], undefined, 'the gateway itself sent the refusal');
  });
});

test('an error response of a backend is forwarded unchanged', async (t) => {
  const failing: RawResponder = (socket, id) =>
    socket.write(success(id, 'broken').replace('200 OK', '500 Internal Server Error'));
  await withHarness(t, { kind: 'at-most-once' }, [failing], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.status, 500);
    t.is(seen.body, 'broken');
    t.is(seen.headers['response-stamp'], 's1');
  });
});

test('method, path, body and headers reach the backend unchanged, with the remaining deadline', async (t) => {
  await withHarness(t, {}, [wholeResponse], async (harness) => {
    await harness.call('a1', '/x/y?z=%20', 'body', { 'X-Own': 'Value', deadline: '1500' });
    const head = harness.backends[0]?.requestHeads[0] ?? '';
    t.true(head.startsWith('POST /x/y?z=%20 HTTP/1.1'));
    t.regex(head, /^X-Own: Value$/im);
    t.regex(head, /^attempt-id: a1$/im);
    t.regex(head, /^backend: i1$/m);
    const left = Number(/^left: (\d+)$/m.exec(head)?.[1]);
    t.true(left > 1000 && left < 1500);
  });
});

const refusedRequests: readonly (readonly [name: string, path: string, body: string, status: number])[] = [
  ['no route', '/other/', 'x', 404],
  ['a body over the limit', '/x/', 'x'.repeat(70_000), 413],
];

for (const [name, path, body, status] of refusedRequests) {
  test(`${name} is answered with ${status} and reaches no backend`, async (t) => {
    await withHarness(t, {}, [wholeResponse], async (harness) => {
      t.is((await harness.call('a1', path, body)).status, status);
      t.is(harness.sends, 0);
    });
  });
}

test("a request that exceeds its route's timeout gets a final response at once", async (t) => {
  const silent: RawResponder = () => undefined;
  await withHarness(t, { kind: 'at-most-once', timeoutMs: SILENT_ROUTE_MS }, [silent], async (harness) => {
    t.is((await harness.call('a1')).status, 504);
  });
});

test('a response that arrives after the timeout of its request reaches no client', async (t) => {
  let requests = 0;
  const late: RawResponder = (socket, id) => {
    requests += 1;
    if (requests === 1) setTimeout(() => socket.write(success(id, 'late')), SILENT_ROUTE_MS + 100);
    else socket.write(success(id, 'in time'));
  };
  await withHarness(t, { kind: 'at-most-once', timeoutMs: SILENT_ROUTE_MS }, [late], async (harness) => {
    t.is((await harness.call('a1')).status, 504);
    const seen = await harness.call('a2');
    t.is(seen.body, 'in time');
  });
});

test('a duplicate response on a kept connection is not taken for the response to the next request', async (t) => {
  const doubled: RawResponder = (socket, id) => {
    socket.write(success(id, `answer ${id}`));
    setTimeout(() => socket.write(success(id, `answer ${id}`)), 20);
  };
  await withHarness(t, { kind: 'at-most-once' }, [doubled], async (harness) => {
    t.is((await harness.call('a1')).body, 'answer a1');
    await new Promise((resolve) => setTimeout(resolve, 80));
    t.is((await harness.call('a2')).body, 'answer a2');
    t.is(harness.backends[0]?.connections, 2, 'the connection was not used again');
  });
});

test('events are forwarded one by one, and so is the end of the stream', async (t) => {
  const stream: RawResponder = (socket, id) => {
    socket.write(streamHead(id) + chunk(event(1)));
    setTimeout(() => socket.write(`${chunk(event(2))}0\r\n\r\n`), 20);
  };
  await withHarness(t, { kind: 'stream' }, [stream], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.body, event(1) + event(2));
    t.true(seen.whole);
  });
});

test('a broken stream resumes on another backend after its last whole event if its route is resumable', async (t) => {
  const stream: RawResponder = (socket, id, head) => {
    const after = /last-event-id: (\d+)/.exec(head)?.[1];
    if (after === undefined) {
      socket.write(streamHead(id) + chunk(event(1)) + chunk(event(2)) + chunk('id: 3\nda'));
      setTimeout(() => socket.resetAndDestroy(), 30);
    } else socket.write(`${streamHead(id)}${chunk(event(Number(after) + 1))}0\r\n\r\n`);
  };
  await withHarness(t, { kind: 'stream', resumable: true }, [stream, stream], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.body, event(1) + event(2) + event(3));
    t.true(seen.whole);
  });
});

test('a broken stream whose route is not resumable is cut off', async (t) => {
  const stream: RawResponder = (socket, id) => {
    socket.write(streamHead(id) + chunk(event(1)));
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  await withHarness(t, { kind: 'stream' }, [stream, stream], async (harness) => {
    const seen = await harness.call('a1');
    t.false(seen.whole);
    t.is(harness.sends, 1);
  });
});

test('a stream that ends within an event does not end as complete', async (t) => {
  const stream: RawResponder = (socket, id) =>
    socket.write(`${streamHead(id)}${chunk(event(1))}${chunk('id: 2\nda')}0\r\n\r\n`);
  await withHarness(t, { kind: 'stream' }, [stream], async (harness) => {
    t.false((await harness.call('a1')).whole);
  });
});

test('a request gets a response after an internal error', async (t) => {
  await withHarness(t, {}, [wholeResponse], async (harness) => {
    harness.beforeSend = () => Promise.reject(new Error('a defect'));
    const seen = await harness.call('a1');
    t.is(seen.status, 503);
    t.true(seen.whole);
    t.is(harness.sends, 0);
    t.true(harness.lines.some((line) => line.includes('event=request.defect') && line.includes('a1')));
  });
});
