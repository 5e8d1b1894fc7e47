import type { IncomingHttpHeaders } from 'node:http';
import type { BackendNotice } from '@canvasridge/serving';
import type { CallerIdentity } from './caller-identity.js';

/** A request for a model, as its headers tell. */
export interface GenerationFacts {
  readonly model: string;
  /** Undefined for the base model itself. */
  readonly adapter: string | undefined;
  /** Length of the prompt. */
  readonly promptTokens: number;
  /** The same for a request that a client sends again, and rarely for others; undefined if nothing tells. */
  readonly promptKey: string | undefined;
}

/** What the headers of a client's request say beside the body. */
export interface RequestFacts {
  readonly attemptId: string | undefined;
  /** Milliseconds that the client waits. */
  readonly deadlineMs: number | undefined;
  /** Id of the last event that the client has of a stream it continues. */
  readonly lastEventId: number | undefined;
  readonly generation: GenerationFacts | undefined;
  /** The secret by which the client says which tenant it belongs to. */
  readonly key: string | undefined;
  /** Tokens of the prompt and the most of the answer together; undefined if the request names none. */
  readonly tokens: number | undefined;
}

/** What the gateway adds to a request that it sends to a backend. */
export interface ForwardFacts {
  /** Milliseconds that are left. */
  readonly deadlineMs: number;
  readonly backendId: string;
  readonly lastEventId: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number | undefined;
  readonly identity: CallerIdentity;
}

/** What the head of a backend's answer says of the request. */
export interface AnswerFacts {
  /** The backend promises that it did not run the request and never will. */
  readonly notRun: boolean;
  readonly attemptId: string | undefined;
  /** Carries the mark that every answer of a backend's own work carries. */
  readonly signed: boolean;
  readonly notice: BackendNotice;
}

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Header names and forms of the outside world. Requests and answers pass on unaltered but for these. */
export interface RequestDialect {
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Flat list of names and values, of the client's headers and what the gateway sets. */
  forwardHeaders(rawHeaders: readonly string[], facts: ForwardFacts): string[];
  readAnswer(status: number, headers: AnswerHeaders): AnswerFacts;
  /** Headers of a refusal: when to come back. */
  refusalHeaders(retryAfterMs: number | undefined): Record<string, string>;
}
