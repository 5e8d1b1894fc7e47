import { request, type IncomingMessage } from 'node:http';
import { RELAY_HEADER } from '../src/relay/relay-protocol.js';

/** What a node got back from the one that relays its request. */
export interface RelayedResponse {
  readonly status: number;
  readonly failure: unknown;
  readonly body: string;
  readonly whole: boolean;
}

/** Sends a request as a node does that another one relays. */
export function relayedCall(port: number, backendId = 'i1', signal?: AbortSignal): Promise<RelayedResponse> {
  return new Promise((resolve) => {
    const headers = { host: 'a.example', 'attempt-id': 'r1', [RELAY_HEADER.backend]: backendId };
    const options = { host: '127.0.0.1', port, method: 'POST', path: '/x/y?z=1', headers, agent: false };
    const outgoing = request({ ...options, ...(signal === undefined ? {} : { signal }) });
    outgoing.on('response', (incoming: IncomingMessage) => {
      let body = '';
      incoming.setEncoding('utf8');
      incoming.on('data', (part: string) => (body += part));
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        const { statusCode: status = 0, headers: seen, complete: whole } = incoming;
        resolve({ status, failure: seen[RELAY_HEADER.failure], body, whole });
      });
    });
    outgoing.on('error', () => resolve({ status: 0, failure: undefined, body: '', whole: false }));
    outgoing.end('question');
  });
}
