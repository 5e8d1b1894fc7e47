/** HTTP header names, in lower case as Node.js provides them; docs/reference/api.md explains each. */
export const Header = {
  requestId: 'x-request-id',
  /** Time left until the deadline when the request was sent, in milliseconds. */
  deadlineMs: 'canvasridge-deadline-ms',
  priority: 'canvasridge-priority',
  /** `no` marks a request that may be run at most once. */
  repeatable: 'canvasridge-repeatable',
  idempotencyKey: 'idempotency-key',
  /** Home token of the idempotency key, as obtained from the directory. */
  home: 'canvasridge-home',
  lastEventId: 'last-event-id',
  /**
   * `yes` keeps the stream for some time after the caller's connection is lost, so that it can be resumed.
   */
  resumable: 'canvasridge-resumable',
  /** Token with which the caller resumes the stream. */
  stream: 'canvasridge-stream',
  model: 'canvasridge-model',
  /** Set by a node that forwards a request to the owner of an engine. */
  forwardedBy: 'canvasridge-forwarded-by',
  forwardedEngine: 'canvasridge-engine',
  forwardedCaller: 'canvasridge-caller',
  peerKey: 'canvasridge-peer-key',
  /** Model and engine that actually ran the request. */
  servedModel: 'canvasridge-served-model',
  servedEngine: 'canvasridge-served-engine',
  loadStallMs: 'canvasridge-load-stall-ms',
  fence: 'canvasridge-fence',
} as const;
