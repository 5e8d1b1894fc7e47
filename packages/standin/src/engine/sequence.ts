/** Receives the progress of one generation. */
export interface SequenceListener {
  /** The tokens up to and including index `last` are available. */
  onTokens(last: number): void;
  onEnd(): void;
  onBroken(reason: string): void;
}

/** State of one generation, kept after its end so that its reader can resume it. */
export class Sequence {
  readonly requestId: string;
  readonly model: string;
  readonly adapterKey: string;
  readonly promptHash: number;
  readonly totalTokens: number;
  readonly priority: number;
  /** Hashes of the prompt's blocks, under which the prefix cache stores them. */
  readonly blocks: readonly number[];
  /** Number of prompt tokens that still have to be processed. */
  remainingPrefillTokens: number;
  producedTokens = 0;
  state: 'waiting' | 'running' | 'done' | 'cancelled' | 'broken' = 'waiting';
  /** When the last reader disconnected; undefined while one is attached. */
  detachedAtMs: number | undefined;
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
    this.remainingPrefillTokens = options.promptTokens;
    this.totalTokens = options.totalTokens;
    this.priority = options.priority;
    this.blocks = options.blocks;
  }

  /** Makes `listener` the reader, in place of an earlier one, and passes it the progress so far. */
  attach(listener: SequenceListener): void {
    this.#listener = listener;
    this.detachedAtMs = undefined;
    if (this.producedTokens > 0) listener.onTokens(this.producedTokens - 1);
    if (this.state === 'done') listener.onEnd();
    if (this.state === 'broken') listener.onBroken('the engine restarted');
  }

  /** Detaches `listener`; does nothing if another reader has replaced it. */
  detach(listener: SequenceListener, nowMs: number): void {
    if (this.#listener !== listener) return;
    this.#listener = undefined;
    this.detachedAtMs = nowMs;
  }

  produceToken(): void {
    this.producedTokens += 1;
    this.#listener?.onTokens(this.producedTokens - 1);
    if (this.producedTokens < this.totalTokens) return;
    this.state = 'done';
    this.#listener?.onEnd();
  }

  break(reason: string): void {
    this.state = 'broken';
    this.#listener?.onBroken(reason);
  }
}
