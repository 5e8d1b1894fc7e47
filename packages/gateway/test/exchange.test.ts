import test, { type ExecutionContext } from 'ava';
import { Harness, type RouteChanges } from './harness.js';
import { chunk, streamHead, success, type RawAnswer } from './raw-backend.js';

async function withHarness(
  t: ExecutionContext,
  changes: RouteChanges,
  answers: readonly RawAnswer[],
  run: (harness: Harness) => Promise<void>,
): Promise<void> {
  const harness = await Harness.start(changes, answers);
  t.teardown(() => harness.stop());
  await run(harness);
}

const good: RawAnswer = (socket, id) => socket.write(success(id, 'answer'));
const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

/** Faults of a backend after which the request may have run. */
const faults: readonly (readonly [name: string, answer: RawAnswer])[] = [
  ['closes without an answer', (socket) => socket.end()],
  ['resets', (socket) => socket.resetAndDestroy()],
  ['sends bytes that are no answer', (socket) => socket.end('garbage\r\n\r\n')],
  ['breaks off within a body with length', (socket, id) => socket.end(success(id, 'answer').slice(0, -3))],
  [
    'resets within a body without length',
    (socket, id) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\nconnection: close\r\n\r\nans`,
      );
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
  ],
  [
    'resets right after the bytes of a body without length',
    (socket, id) => {
      const head = `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\nconnection: close\r\n\r\n`;
      // Written and reset in one turn, so that both arrive together.
      socket.write(`${head}ans`, () => socket.resetAndDestroy());
    },
  ],
  [
    'closes within a chunked body after which it wants to close',
    (socket, id) => {
      socket.write(streamHead(id).replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
      socket.end(chunk('ans'));
    },
  ],
  [
    'resets within a chunked body after which it wants to close',
    (socket, id) => {
      socket.write(streamHead(id).replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n') + chunk('ans'));
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
  ],
  ['answers another request', (socket) => socket.write(success('another', 'answer'))],
  ['gives no signature', (socket, id) => socket.write(success(id, 'answer').replace('response-stamp', 'x'))],
  [
    'gives an encoded body',
    (socket, id) => socket.write(success(id, 'answer', 'content-encoding: gzip\r\n')),
  ],
];

for (const [name, answer] of faults) {
  test(`a backend that ${name}: at most once, the outcome is told as unknown`, async (t) => {
    await withHarness(t, { kind: 'at-most-once' }, [answer, answer], async (harness) => {
      const seen = await harness.call('a1');
      t.is(seen.status, 502);
      t.is(harness.sends, 1, 'the request was sent once');
    });
  });

  test(`a backend that ${name}: a repeatable request is answered by another`, async (t) => {
    let failed = false;
    const once: RawAnswer = (socket, id, head) => {
      if (failed) good(socket, id, head);
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

/** Time-out of a route whose backend says nothing: also a busy machine sends the request before, or its answer says "not run". */
const SILENT_ROUTE_MS = 1500;

test('an answer without length ends with its connection', async (t) => {
  const unframed: RawAnswer = (socket, id) =>
    socket.end(
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-stamp: s\r\nconnection: close\r\n\r\nanswer`,
    );
  await withHarness(t, { kind: 'at-most-once' }, [unframed], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.body, 'answer');
    t.true(seen.whole);
  });
});

test('a refusal that was not run is tried elsewhere, also for a request that runs at most once', async (t) => {
  let refused = false;
  const answer: RawAnswer = (socket, id, head) => {
    if (refused) {
      good(socket, id, head);
      return;
    }
    refused = true;
    socket.write('HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
  };
  await withHarness(t, { kind: 'at-most-once', attempts: 1 }, [answer, answer], async (harness) => {
    t.is((await harness.call('a1')).status, 200);
  });
});

test('when all refuse, the client is told that nothing ran and when to come back', async (t) => {
  const busy: RawAnswer = (socket) =>
    socket.write('HTTP/1.1 503 Busy\r\nnot-run: 1\r\nresponse-stamp: s\r\ncontent-length: 0\r\n\r\n');
  await withHarness(t, { kind: 'at-most-once' }, [busy, busy], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.status, 503);
    t.true(Number(seen.headers['retry-after']) > 0);
    t.is(seen.headers['response-stamp'], undefined, "the refusal is the gateway's own");
  });
});

test('a failure of the backend is passed on as it is', async (t) => {
  const failing: RawAnswer = (socket, id) =>
    socket.write(success(id, 'broken').replace('200 OK', '500 Internal Server Error'));
  await withHarness(t, { kind: 'at-most-once' }, [failing], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.status, 500);
    t.is(seen.body, 'broken');
    t.is(seen.headers['response-stamp'], 's1');
  });
});

test('method, path, body and headers reach the backend unaltered, with what is left of the deadline', async (t) => {
  await withHarness(t, {}, [good], async (harness) => {
    await harness.call('a1', '/x/y?z=%20', 'body', { 'X-Own': 'Value', deadline: '1500' });
    const head = harness.backends[0]?.heads[0] ?? '';
    t.true(head.startsWith('POST /x/y?z=%20 HTTP/1.1'));
    t.regex(head, /^X-Own: Value$/im);
    t.regex(head, /^attempt-id: a1$/im);
    t.regex(head, /^backend: i1$/m);
    const left = Number(/^left: (\d+)$/m.exec(head)?.[1]);
    t.true(left > 1000 && left < 1500);
  });
});

const limits: readonly (readonly [name: string, path: string, body: string, status: number])[] = [
  ['no route', '/other/', 'x', 404],
  ['a body over the limit', '/x/', 'x'.repeat(70_000), 413],
];

for (const [name, path, body, status] of limits) {
  test(`${name} is answered with ${status} and reaches no backend`, async (t) => {
    await withHarness(t, {}, [good], async (harness) => {
      t.is((await harness.call('a1', path, body)).status, status);
      t.is(harness.sends, 0);
    });
  });
}

test("a route's time-out gives a final answer at once", async (t) => {
  const silent: RawAnswer = () => undefined;
  await withHarness(t, { kind: 'at-most-once', timeoutMs: SILENT_ROUTE_MS }, [silent], async (harness) => {
    t.is((await harness.call('a1')).status, 504);
  });
});

test('an answer that arrives after the time-out of its request reaches nobody', async (t) => {
  let requests = 0;
  const late: RawAnswer = (socket, id) => {
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

test('a second answer on a kept connection is not taken for that of the next request', async (t) => {
  const doubled: RawAnswer = (socket, id) => {
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

test('events pass on one by one, and the end of the stream is told', async (t) => {
  const stream: RawAnswer = (socket, id) => {
    socket.write(streamHead(id) + chunk(event(1)));
    setTimeout(() => socket.write(`${chunk(event(2))}0\r\n\r\n`), 20);
  };
  await withHarness(t, { kind: 'stream' }, [stream], async (harness) => {
    const seen = await harness.call('a1');
    t.is(seen.body, event(1) + event(2));
    t.true(seen.whole);
  });
});

test('a broken stream goes on at another backend after its last whole event, if its route allows', async (t) => {
  const stream: RawAnswer = (socket, id, head) => {
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

test('a broken stream whose route does not allow it ends broken', async (t) => {
  const stream: RawAnswer = (socket, id) => {
    socket.write(streamHead(id) + chunk(event(1)));
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  await withHarness(t, { kind: 'stream' }, [stream, stream], async (harness) => {
    const seen = await harness.call('a1');
    t.false(seen.whole);
    t.is(harness.sends, 1);
  });
});

test('a stream that ends within an event is not told as whole', async (t) => {
  const stream: RawAnswer = (socket, id) =>
    socket.write(`${streamHead(id)}${chunk(event(1))}${chunk('id: 2\nda')}0\r\n\r\n`);
  await withHarness(t, { kind: 'stream' }, [stream], async (harness) => {
    t.false((await harness.call('a1')).whole);
  });
});

test('a request that meets a defect of the program gets an answer', async (t) => {
  await withHarness(t, {}, [good], async (harness) => {
    harness.beforeSend = () => Promise.reject(new Error('a defect'));
    const seen = await harness.call('a1');
    t.is(seen.status, 503);
    t.true(seen.whole);
    t.is(harness.sends, 0);
    t.true(harness.lines.some((line) => line.includes('event=request.defect') && line.includes('a1')));
  });
});
