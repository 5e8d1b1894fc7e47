/** Header names, in the lower case in which Node.js gives them. docs/reference/api.md explains each. */
export const Header = {
  requestId: 'x-request-id',
  /** Time left in milliseconds when the request was sent. */
  deadlineMs: 'canvasridge-deadline-ms',
  priority: 'canvasridge-priority',
  /** `no` marks a request that may run at most once. */
  repeatable: 'canvasridge-repeatable',
  idempotencyKey: 'idempotency-key',
  /** Home of the idempotency key, as the directory gave it. */
  home: 'canvasridge-home',
  lastEventId: 'last-event-id',
  /** `yes` keeps a stream for a while after the caller's connection broke. */
  resumable: 'canvasridge-resumable',
  /** Token by which the caller picks the stream up again. */
  stream: 'canvasridge-stream',
  model: 'canvasridge-model',
  /** Set by a node on the one hop to the owner of an engine. */
  forwardedBy: 'canvasridge-forwarded-by',
  forwardedEngine: 'canvasridge-engine',
  forwardedCaller: 'canvasridge-caller',
  peerKey: 'canvasridge-peer-key',
  /** What an engine really ran. */
  servedModel: 'canvasridge-served-model',
  servedEngine: 'canvasridge-served-engine',
  loadStallMs: 'canvasridge-load-stall-ms',
  fence: 'canvasridge-fence',
} as const;
