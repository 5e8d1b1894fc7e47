/**
 * Guards against requests that a change of the configuration, of the list of backends, or a planned stop ends or alters
 * while they run: in an attempt whose backend is silent at that time, and in a second attempt after the change.
 */
import type { Socket } from 'node:net';
import type { FleetState, HttpRoute, ServingConfiguration } from '@canvasridge/serving';
import test, { type ExecutionContext } from 'ava';
import {
  SERVICE,
  callNode,
  configuration,
  tenant,
  type ClientResponse,
  type RouteOverrides,
} from './harness.js';
import { chunk, streamHead, success, type RawResponder } from './raw-backend.js';
import { startFleet, type RunningFleet } from './running-node.js';

const OBJECTIVE_MS = 125;
/** More than the limit of two objectives, also for a backend that answers other requests. */
const SILENCE_MS = 1600;
const TIMEOUT_MS = 20_000;
/** Time that the changed configuration gives to requests, which is over before the silence is. */
const CHANGED_TIMEOUT_MS = 100;
/** Longer than the silence, so that a planned stop leaves the time that the request needs. */
const GRACE_MS = 6000;

const STREAM: RouteOverrides = {
  kind: 'stream',
  resumable: true,
  attempts: 3,
  objectiveMs: OBJECTIVE_MS,
  timeoutMs: TIMEOUT_MS,
};
const IDEMPOTENT: RouteOverrides = { ...STREAM, kind: 'idempotent', resumable: false };

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;
const WHOLE = event(1) + event(2);
const END = '0\r\n\r\n';

type Change = (fleet: RunningFleet) => void;

/** The state of the only node. */
function stateOf({ nodes }: RunningFleet): FleetState {
  const [first] = nodes;
  if (first === undefined) throw new Error('no node');
  return first.node.fleet;
}

function publish(changes: Partial<ServingConfiguration>): Change {
  return (fleet) => {
    const { routes } = stateOf(fleet);
    if (routes === undefined) throw new Error('no configuration');
    const { configuration: inForce } = routes;
    stateOf(fleet).applyConfiguration({ ...inForce, ...changes, version: inForce.version + 1 });
  };
}

const NARROW_ROUTE: HttpRoute = {
  ...configuration({}).routes[0],
  kind: 'at-most-once',
  services: [{ service: 'other', weight: 1 }],
  timeoutMs: CHANGED_TIMEOUT_MS,
  patienceMs: CHANGED_TIMEOUT_MS,
  objectiveMs: 1,
  priority: 9,
  attempts: 1,
  resumable: false,
} as HttpRoute;
const NARROW_LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 50, idleTimeoutMs: 50 };

/** Changes after which a request that runs goes on, and may be sent again as it might have been before. */
const CHANGES: Readonly<Record<string, Change>> = {
  'a configuration without its route and service': publish({ routes: [], services: [] }),
  'a configuration that moves its route to another service with less time and fewer attempts': publish({
    routes: [NARROW_ROUTE],
  }),
  'a configuration with narrower limits for clients': publish({ limits: NARROW_LIMITS }),
  'a planned stop': ({ stop }) => void stop(),
};
/** Changes that concern the first backend. */
const DEPARTURES: Readonly<Record<string, Change>> = {
  'its backend drains': (fleet) => {
    for (const [index, backend] of fleet.backends.entries()) {
      const described = backend.description(`i${index}`, SERVICE);
      if (backend.requestHeads.length > 0)
        stateOf(fleet).applyBackend(10, { ...described, state: 'draining' });
    }
  },
  'the entry of its backend is removed': (fleet) => {
    for (const [index, backend] of fleet.backends.entries())
      if (backend.requestHeads.length > 0) stateOf(fleet).removeBackend(10, `i${index}`);
  },
};
/** Changes that forbid a new run, but don't concern the run in progress. */
const REVOCATIONS: Readonly<Record<string, Change>> = {
  'a configuration by which requests need a key': publish({ tenants: [tenant('t', ['k'])] }),
};

interface Begun {
  readonly fleet: RunningFleet;
  readonly response: Promise<ClientResponse>;
  /** The connection on which the first backend has begun to answer. */
  readonly socket: Socket;
}

/** Sends a request; resolves when its first backend has it and, if it is a stream, the client the first event. */
async function begin(t: ExecutionContext, route: RouteOverrides, backends: number): Promise<Begun> {
  const isStream = route.kind === 'stream';
  const sockets: Socket[] = [];
  let onArrived = (): void => undefined;
  const arrived = new Promise<void>((resolve) => (onArrived = resolve));
  let onEvent = (): void => undefined;
  const firstEvent = new Promise<void>((resolve) => (onEvent = resolve));
  const answer: RawResponder = (socket, id, head) => {
    const isFirst = sockets.push(socket) === 1;
    if (!isFirst) {
      const rest = /last-event-id: 1/i.test(head) ? event(2) : 'not continued';
      socket.write(isStream ? streamHead(id) + chunk(rest) + END : success(id, 'second answer'));
      return;
    }
    if (isStream) socket.write(streamHead(id) + chunk(event(1)));
    onArrived();
  };
  const fleet = await startFleet(t, { nodes: 1, backends }, route, answer, GRACE_MS);
  const response = callNode(fleet.nodes[0]?.port ?? 0, 'a1', { onData: () => onEvent() });
  await arrived;
  if (isStream) await firstEvent;
  const [socket] = sockets;
  if (socket === undefined) throw new Error('not arrived');
  return { fleet, response, socket };
}

const sends = ({ backends }: RunningFleet): number =>
  backends.reduce((sum, { requestHeads }) => sum + requestHeads.length, 0);

for (const [name, change] of Object.entries({ ...CHANGES, ...DEPARTURES, ...REVOCATIONS })) {
  test(`a stream whose backend is silent goes on there after ${name}`, async (t) => {
    const { fleet, response, socket } = await begin(t, STREAM, 1);
    change(fleet);
    setTimeout(() => socket.write(chunk(event(2)) + END), SILENCE_MS);
    const { body, whole } = await response;
    t.is(body, WHOLE);
    t.true(whole);
    t.is(sends(fleet), 1);
  });

  test(`a repeatable request whose backend is silent is answered by it after ${name}`, async (t) => {
    const { fleet, response, socket } = await begin(t, IDEMPOTENT, 1);
    change(fleet);
    setTimeout(() => socket.write(success('a1', 'first answer')), SILENCE_MS);
    const { status, body } = await response;
    t.is(status, 200);
    t.is(body, 'first answer');
    t.is(sends(fleet), 1);
  });
}

for (const [name, change] of Object.entries({ ...CHANGES, ...DEPARTURES })) {
  test(`a stream whose backend breaks off goes on at another one after ${name}`, async (t) => {
    const { fleet, response, socket } = await begin(t, STREAM, 2);
    change(fleet);
    setTimeout(() => socket.destroy(), CHANGED_TIMEOUT_MS * 2);
    const { body, whole } = await response;
    t.is(body, WHOLE);
    t.true(whole);
    t.is(sends(fleet), 2);
  });

  test(`a repeatable request whose backend breaks off is answered by another one, with the time that it had, after ${name}`, async (t) => {
    const { fleet, response, socket } = await begin(t, IDEMPOTENT, 2);
    change(fleet);
    setTimeout(() => socket.destroy(), CHANGED_TIMEOUT_MS * 2);
    const { status, body } = await response;
    t.is(status, 200);
    t.is(body, 'second answer');
    t.is(sends(fleet), 2);
    const left = fleet.backends.flatMap(({ requestHeads }) => requestHeads.map(timeLeftMs));
    t.true(Math.min(...left) > CHANGED_TIMEOUT_MS, `backends were told ${left.join(' and ')} ms`);
  });
}

for (const [name, change] of Object.entries({ ...CHANGES, ...DEPARTURES })) {
  test(`a stream whose connection stays silent for good goes on at another backend after ${name}`, async (t) => {
    const { fleet, response } = await begin(t, STREAM, 2);
    change(fleet);
    const { body, whole } = await response;
    t.is(body, WHOLE);
    t.true(whole);
    t.is(sends(fleet), 2);
  });
}

for (const [name, change] of Object.entries(REVOCATIONS)) {
  test(`a stream whose backend is silent goes on there, and is not run by another one that answers, after ${name}`, async (t) => {
    const { fleet, response, socket } = await begin(t, STREAM, 2);
    change(fleet);
    setTimeout(() => socket.write(chunk(event(2)) + END), SILENCE_MS);
    const { body, whole } = await response;
    t.is(body, WHOLE);
    t.true(whole);
    t.is(sends(fleet), 1);
  });
}

function timeLeftMs(head: string): number {
  return Number(/left: (\d+)/.exec(head)?.[1] ?? 0);
}

test('a request is not sent again after a configuration by which it needs a key that it lacks', async (t) => {
  const { fleet, response, socket } = await begin(t, IDEMPOTENT, 2);
  publish({ tenants: [tenant('t', ['k'])] })(fleet);
  socket.destroy();
  const { status } = await response;
  t.is(status, 502);
  t.is(sends(fleet), 1);
});
