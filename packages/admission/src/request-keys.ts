import type { Clock } from '@canvasridge/clock';
import { HOME_EPOCH_MS } from './home-token.js';

/** The answer to a request with an idempotency key, kept for requests that repeat the key. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** How a request with an idempotency key ended. */
export type KeyOutcome =
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  /** It ran, but its answer is too large to keep. */
  | { readonly kind: 'answer-dropped' }
  /** It is certain that it did not run, so the key may be used again. */
  | { readonly kind: 'not-executed' }
  | { readonly kind: 'unknown' };

/** What a request with an idempotency key may do. */
export type KeyClaim =
  /** This request, and no other with the key, may run; it must call `settle` when it has ended. */
  | { readonly kind: 'run'; settle(outcome: KeyOutcome, remember?: boolean): void }
  /** Another request with the key runs or has ended; `outcome` is its outcome. */
  | { readonly kind: 'wait'; readonly outcome: Promise<KeyOutcome> }
  /** The right to run was handed to another process. */
  | { readonly kind: 'elsewhere'; readonly process: string }
  /** The key's epoch is not stored, so it cannot be known whether a request with it ran. */
  | { readonly kind: 'unknown' }
  /** The table of keys is full; the request was not run. */
  | { readonly kind: 'full' };

/**
 * Answer to another node that asks to run a request whose home is this process. `granted`: it may run it.
 * `known-here`: the request runs or ran here. `elsewhere`: a third process has the right to run it.
 * `unknown`: the key's epoch is not stored. `full`: the table of keys is full.
 */
export const KEY_TRANSFERS = ['granted', 'known-here', 'elsewhere', 'unknown', 'full'] as const;
export type KeyTransfer = (typeof KEY_TRANSFERS)[number];

interface Entry {
  readonly outcome: Promise<KeyOutcome>;
  /** Process to which the right to run was handed; undefined if it is this one. */
  readonly delegate: string | undefined;
}

interface EpochTable {
  readonly entries: Map<string, Entry>;
}

/** Epochs kept: the current one, and the one before it, whose home tokens callers may still hold. */
const KEPT_EPOCHS = 2;
/** Maximum number of keys in all epochs together. Keys beyond it are answered with `full`. */
const MAX_ENTRIES = 100_000;

/**
 * Idempotency keys whose home is this process. At most one request runs for each key, here or at the one
 * process to which the right to run was handed.
 */
export class RequestKeys {
  readonly #clock: Clock;
  readonly #epochs = new Map<number, EpochTable>();
  #entryCount = 0;
  /** Highest epoch seen: it never goes back, even if the wall clock does. */
  #currentEpoch = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#advance();
  }

  /** Current epoch, for home tokens issued now. */
  epoch(): number {
    this.#advance();
    return this.#currentEpoch;
  }

  /** Decides on a request with `key` that arrived at its home, this process. */
  claim(epoch: number, key: string): KeyClaim {
    const table = this.#table(epoch);
    if (table === undefined) return { kind: 'unknown' };
    const known = table.entries.get(key);
    if (known?.delegate !== undefined) return { kind: 'elsewhere', process: known.delegate };
    if (known !== undefined) return { kind: 'wait', outcome: known.outcome };
    if (this.#entryCount >= MAX_ENTRIES) return { kind: 'full' };
    return this.#openEntry(table, key);
  }

  /** Process to which the right to run `key` was handed, if any. */
  delegateOf(epoch: number, key: string): string | undefined {
    return this.#table(epoch)?.entries.get(key)?.delegate;
  }

  /** Outcome of a key whose request ran or runs here. */
  outcomeOf(epoch: number, key: string): Promise<KeyOutcome> | undefined {
    const entry = this.#table(epoch)?.entries.get(key);
    return entry?.delegate === undefined ? entry?.outcome : undefined;
  }

  /** Hands the right to run `key` to another process if no process has it yet. */
  transfer(epoch: number, key: string, process: string): KeyTransfer {
    const table = this.#table(epoch);
    if (table === undefined) return 'unknown';
    const known = table.entries.get(key);
    // The process repeats its call after an answer was lost: it still has the right, and knows whether it has
    // used it.
    if (known?.delegate === process) return 'granted';
    if (known !== undefined) return known.delegate === undefined ? 'known-here' : 'elsewhere';
    if (this.#entryCount >= MAX_ENTRIES) return 'full';
    this.#add(table, key, { outcome: Promise.resolve({ kind: 'unknown' }), delegate: process });
    return 'granted';
  }

  #openEntry(table: EpochTable, key: string): KeyClaim {
    let resolve: (outcome: KeyOutcome) => void = () => undefined;
    const outcome = new Promise<KeyOutcome>((settled) => {
      resolve = settled;
    });
    this.#add(table, key, { outcome, delegate: undefined });
    // By default the key is freed only if it is certain that nothing ran. Callers pass `remember` as false
    // where another process stores the outcome.
    const settle = (result: KeyOutcome, remember = result.kind !== 'not-executed'): void => {
      if (!remember) this.#remove(table, key);
      resolve(result);
    };
    return { kind: 'run', settle };
  }

  #add(table: EpochTable, key: string, entry: Entry): void {
    table.entries.set(key, entry);
    this.#entryCount += 1;
  }

  #remove(table: EpochTable, key: string): void {
    if (table.entries.delete(key)) this.#entryCount -= 1;
  }

  /** The table of an epoch; undefined for one that was dropped or that lies too far ahead. */
  #table(epoch: number): EpochTable | undefined {
    this.#advance();
    if (epoch <= this.#currentEpoch - KEPT_EPOCHS || epoch > this.#currentEpoch + 1) return undefined;
    let table = this.#epochs.get(epoch);
    if (table === undefined) {
      // The check above excludes dropped epochs, so a missing table is one without entries.
      table = { entries: new Map() };
      this.#epochs.set(epoch, table);
    }
    return table;
  }

  #advance(): void {
    const epoch = Math.floor(this.#clock.wallTime() / HOME_EPOCH_MS);
    if (epoch <= this.#currentEpoch) return;
    this.#currentEpoch = epoch;
    for (const [storedEpoch, table] of this.#epochs) {
      if (storedEpoch > this.#currentEpoch - KEPT_EPOCHS) continue;
      this.#entryCount -= table.entries.size;
      this.#epochs.delete(storedEpoch);
    }
  }
}
