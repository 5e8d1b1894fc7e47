import type { Clock } from '@canvasridge/clock';
import { HOME_EPOCH_MS } from './home-token.js';

/** The answer of a request with a key, kept for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** How a request with a key ended. */
export type KeyOutcome =
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  /** It ran, yet its answer is too large to keep. */
  | { readonly kind: 'answer-dropped' }
  /** Proved not to have run: the key may be used again. */
  | { readonly kind: 'not-executed' }
  | { readonly kind: 'unknown' };

/** What a request with a key may do. */
export type KeyClaim =
  /** The only one that may run it; must call `settle` in the end. */
  | { readonly kind: 'run'; settle(outcome: KeyOutcome, remember?: boolean): void }
  | { readonly kind: 'wait'; readonly outcome: Promise<KeyOutcome> }
  /** Another process was given the key before. */
  | { readonly kind: 'elsewhere'; readonly process: string }
  /** Nobody can tell what became of the key, or never again. */
  | { readonly kind: 'unknown' }
  /** Too many keys are remembered; the request was not run. */
  | { readonly kind: 'full' };

/** Answer to another node that wants to run a request whose home is here. */
export const KEY_TRANSFERS = ['granted', 'known-here', 'elsewhere', 'unknown', 'full'] as const;
export type KeyTransfer = (typeof KEY_TRANSFERS)[number];

interface Entry {
  readonly outcome: Promise<KeyOutcome>;
  /** Process to which the right to run was handed. */
  readonly delegate: string | undefined;
}

interface EpochTable {
  readonly entries: Map<string, Entry>;
}

/** Periods remembered: the current one and those before it in which a caller may still hold a home. */
const EPOCHS_KEPT = 2;
const ENTRY_LIMIT = 100_000;

/**
 * Idempotency keys whose home is this process. A key is run by at most one request, here or at the one
 * process to which it was handed.
 */
export class RequestKeys {
  readonly #clock: Clock;
  readonly #epochs = new Map<number, EpochTable>();
  #entryCount = 0;
  /** Highest period seen: it never goes back, even when the wall clock does. */
  #currentEpoch = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#advance();
  }

  /** Period for homes given out now. */
  epoch(): number {
    this.#advance();
    return this.#currentEpoch;
  }

  /** A request with `key` arrived at its home. */
  claim(epoch: number, key: string): KeyClaim {
    const table = this.#table(epoch);
    if (table === undefined) return { kind: 'unknown' };
    const known = table.entries.get(key);
    if (known?.delegate !== undefined) return { kind: 'elsewhere', process: known.delegate };
    if (known !== undefined) return { kind: 'wait', outcome: known.outcome };
    if (this.#entryCount >= ENTRY_LIMIT) return { kind: 'full' };
    return this.#open(table, key);
  }

  /** Process to which the right to run `key` was handed, if any. */
  delegateOf(epoch: number, key: string): string | undefined {
    return this.#table(epoch)?.entries.get(key)?.delegate;
  }

  /** Outcome of a key that ran or runs here. */
  outcomeOf(epoch: number, key: string): Promise<KeyOutcome> | undefined {
    const entry = this.#table(epoch)?.entries.get(key);
    return entry?.delegate === undefined ? entry?.outcome : undefined;
  }

  /** Hands the right to run `key` to another process, if nobody has it yet. */
  transfer(epoch: number, key: string, process: string): KeyTransfer {
    const table = this.#table(epoch);
    if (table === undefined) return 'unknown';
    const known = table.entries.get(key);
    // Asked again after an answer was lost: that process still holds the right, and knows whether it used it.
    if (known?.delegate === process) return 'granted';
    if (known !== undefined) return known.delegate === undefined ? 'known-here' : 'elsewhere';
    if (this.#entryCount >= ENTRY_LIMIT) return 'full';
    this.#add(table, key, { outcome: Promise.resolve({ kind: 'unknown' }), delegate: process });
    return 'granted';
  }

  #open(table: EpochTable, key: string): KeyClaim {
    let resolve: (outcome: KeyOutcome) => void = () => undefined;
    const outcome = new Promise<KeyOutcome>((settled) => {
      resolve = settled;
    });
    this.#add(table, key, { outcome, delegate: undefined });
    // Proof that nothing ran frees the key; every other outcome is remembered, unless another process does.
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

  /** The table of a period, or undefined for one that is forgotten or too far ahead. */
  #table(epoch: number): EpochTable | undefined {
    this.#advance();
    if (epoch <= this.#currentEpoch - EPOCHS_KEPT || epoch > this.#currentEpoch + 1) return undefined;
    let table = this.#epochs.get(epoch);
    if (table === undefined) {
      // A period that was never dropped, so an absent table is an empty one.
      table = { entries: new Map() };
      this.#epochs.set(epoch, table);
    }
    return table;
  }

  #advance(): void {
    const epoch = Math.floor(this.#clock.wallTime() / HOME_EPOCH_MS);
    if (epoch <= this.#currentEpoch) return;
    this.#currentEpoch = epoch;
    for (const [old, table] of this.#epochs) {
      if (old > this.#currentEpoch - EPOCHS_KEPT) continue;
      this.#entryCount -= table.entries.size;
      this.#epochs.delete(old);
    }
  }
}
