/**
 * Guards against a relaying node that is still chosen although it can't be reached: each request that is sent through it
 * waits for the connection to time out. The release of the connection told 'not allowed' in place of 'no relay'.
 */
import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import type { AttemptOutcome } from '../src/request/backend-attempt.js';
import { BackendConnections } from '../src/backends/backend-connections.js';
import { RelayHop } from '../src/relay/relay-hop.js';
import { Harness } from './harness.js';
import { success, type RawResponder } from './raw-backend.js';

const answers: RawResponder = (socket, id) => socket.write(success(id, 'answer'));

test('a relaying node that could not be reached is told to those who choose it', async (t) => {
  const harness = await Harness.start({}, [answers]);
  const connections = new BackendConnections();
  t.teardown(() => {
    harness.stop();
    connections.close();
  });
  const outcomes: AttemptOutcome[] = [];
  harness.pathState = 'lost';
  harness.openRelay = (backend, excluded, onReceived) => {
    // Nothing listens on this port.
    const connection = connections.acquire({ id: 'peer', address: socketAddress('127.0.0.1:1') }, 10, 1);
    if (connection === undefined || excluded.has('peer')) return Promise.resolve(undefined);
    const onEnded = (outcome: AttemptOutcome): void => {
      outcomes.push(outcome);
    };
    return Promise.resolve(
      new RelayHop({ connection, peerId: 'peer', backendId: backend.id, onReceived, onEnded }),
    );
  };
  t.is((await harness.call('a1')).status, 200, 'then it is sent directly');
  t.deepEqual(outcomes, [{ kind: 'not-run', reason: 'no-relay' }]);
});
