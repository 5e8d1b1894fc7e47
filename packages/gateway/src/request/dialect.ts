import type { IncomingHttpHeaders } from 'node:http';
import type { BackendNotice } from '@canvasridge/serving';
import type { CallerIdentity } from './caller-identity.js';

/** What the headers of a request to a model say. */
export interface GenerationFacts {
  readonly model: string;
  /** Undefined for the base model itself. */
  readonly adapter: string | undefined;
  /** Length of the prompt in tokens. */
  readonly promptTokens: number;
  /**
   * Key that is equal for repeated sends of a request and rarely equal for different requests; undefined if
   * nothing identifies it.
   */
  readonly promptKey: string | undefined;
}

/** What the headers of a client's request say about it. */
export interface RequestFacts {
  readonly attemptId: string | undefined;
  /** How long the client waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** When the client resumes a stream: id of the last event that it received. */
  readonly lastEventId: number | undefined;
  /** When the client resumes a stream: id of its attempt that received the first event. */
  readonly resumedAttemptId: string | undefined;
  readonly generation: GenerationFacts | undefined;
  /**
   * Names of the parts of the prompt that other requests may have, too, whatever else they hold; without the last
   * part, which is the request's own.
   */
  readonly sharedParts: readonly string[];
  /** The API key that identifies the client's tenant. */
  readonly key: string | undefined;
  /**
   * Tokens of the prompt plus the maximum number of tokens of the response; undefined if the request does
   * not give them.
   */
  readonly tokens: number | undefined;
}

/** What the gateway adds to a request that it forwards to a backend. */
export interface ForwardFacts {
  /** Milliseconds left until the request's deadline. */
  readonly deadlineMs: number;
  readonly backendId: string;
  /** Version of the request's adapter that the backend must hold to run the request; undefined for any. */
  readonly adapterVersion?: number | undefined;
  readonly lastEventId: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number | undefined;
  readonly identity: CallerIdentity;
}

/** What the headers of a backend's response say about the request. */
export interface ResponseFacts {
  /** The backend promises that it did not run the request and never will. */
  readonly isNotRun: boolean;
  readonly attemptId: string | undefined;
  /** Whether the response has the stamp that a backend puts on every response of its own. */
  readonly isStamped: boolean;
  readonly notice: BackendNotice;
}

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Reads and writes the header names and formats of the surrounding platform. All other parts of requests and
 * responses are forwarded unchanged.
 */
export interface RequestDialect {
  /** Path at which backends answer a GET request at once, without running anything. */
  readonly probePath: string;
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /**
   * The headers to send to the backend, as a flat list of names and values: those of the client and those
   * that the gateway sets.
   */
  forwardHeaders(rawHeaders: readonly string[], facts: ForwardFacts): string[];
  readResponse(status: number, headers: ResponseHeaders): ResponseFacts;
  /** Headers of a refusal, which tell the client when to retry. */
  refusalHeaders(retryAfterMs: number | undefined): Record<string, string>;
}
