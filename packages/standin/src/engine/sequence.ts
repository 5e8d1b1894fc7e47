/** Follows one generation. */
export interface SequenceListener {
  /** Tokens up to and including index `last` exist. */
  onTokens(last: number): void;
  onEnd(): void;
  onBroken(reason: string): void;
}

/** One generation of an engine: its progress, kept while it can be resumed. */
export class Sequence {
  readonly requestId: string;
  readonly model: string;
  readonly adapterKey: string;
  readonly promptHash: number;
  readonly totalTokens: number;
  readonly priority: number;
  readonly blocks: readonly number[];
  /** Prompt tokens that still have to be processed. */
  prefillLeft: number;
  produced = 0;
  state: 'waiting' | 'running' | 'done' | 'cancelled' | 'broken' = 'waiting';
  /** When the last reader went away; undefined while one is attached. */
  unreadSinceMs: number | undefined;
  #listener: SequenceListener | undefined;

  constructor(options: {
    readonly requestId: string;
    readonly model: string;
    readonly adapterKey: string;
    readonly promptHash: number;
    readonly promptTokens: number;
    readonly totalTokens: number;
    readonly priority: number;
    readonly blocks: readonly number[];
  }) {
    this.requestId = options.requestId;
    this.model = options.model;
    this.adapterKey = options.adapterKey;
    this.promptHash = options.promptHash;
    this.prefillLeft = options.promptTokens;
    this.totalTokens = options.totalTokens;
    this.priority = options.priority;
    this.blocks = options.blocks;
  }

  /** Makes `listener` the reader; an earlier one hears nothing more. */
  attach(listener: SequenceListener): void {
    this.#listener = listener;
    this.unreadSinceMs = undefined;
    if (this.produced > 0) listener.onTokens(this.produced - 1);
    if (this.state === 'done') listener.onEnd();
    if (this.state === 'broken') listener.onBroken('the engine restarted');
  }

  /** The reader went away. A later reader is not affected. */
  detach(listener: SequenceListener, nowMs: number): void {
    if (this.#listener !== listener) return;
    this.#listener = undefined;
    this.unreadSinceMs = nowMs;
  }

  produceToken(): void {
    this.produced += 1;
    this.#listener?.onTokens(this.produced - 1);
    if (this.produced < this.totalTokens) return;
    this.state = 'done';
    this.#listener?.onEnd();
  }

  break(reason: string): void {
    this.state = 'broken';
    this.#listener?.onBroken(reason);
  }
}
