import type { Clock } from '@canvasridge/clock';
import type { Result } from 'neverthrow';
import type { z } from 'zod';
import { readJsonFile, type SettingsError } from './document.js';

/** Time within which a settings file that can't be read at the start has to become complete. */
const COMPLETE_WITHIN_MS = 5000;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1000;

export interface SettingsFileOptions<T> {
  readonly file: string;
  readonly schema: z.ZodType<T>;
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  /** Called once in each read that waits for the file to be complete. */
  readonly onWaiting: (error: SettingsError) => void;
}

/**
 * The settings file of a process, which whoever runs the process may write at any time. A file that is missing or no
 * whole document is read again, as it may be in the middle of being written: for a while at the start, and after a change
 * until it is complete. A whole document with wrong values is an error at once.
 */
export class SettingsFile<T> {
  readonly #options: SettingsFileOptions<T>;
  #changes = 0;
  #isReading = false;

  constructor(options: SettingsFileOptions<T>) {
    this.#options = options;
  }

  /**
   * Reads the file after a change was announced. Undefined if a read is running, whose result includes the change.
   */
  async readChange(): Promise<Result<T, SettingsError> | undefined> {
    this.#changes += 1;
    return this.#isReading ? undefined : this.#read(Infinity);
  }

  /** Reads the file until no change has been announced meanwhile. */
  read(): Promise<Result<T, SettingsError>> {
    return this.#read(COMPLETE_WITHIN_MS);
  }

  async #read(withinMs: number): Promise<Result<T, SettingsError>> {
    this.#isReading = true;
    try {
      for (;;) {
        const changes = this.#changes;
        const read = await this.#readWhenComplete(withinMs);
        if (changes === this.#changes) return read;
      }
    } finally {
      this.#isReading = false;
    }
  }

  async #readWhenComplete(withinMs: number): Promise<Result<T, SettingsError>> {
    const { file, schema, clock, onWaiting } = this.#options;
    const deadlineMs = clock.now() + withinMs;
    for (let pauseMs = FIRST_PAUSE_MS; ; pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS)) {
      const read = await readJsonFile(file, schema);
      if (read.isOk() || !mayBeIncomplete(read.error) || clock.now() + pauseMs > deadlineMs) return read;
      if (pauseMs === FIRST_PAUSE_MS) onWaiting(read.error);
      await clock.sleep(pauseMs);
    }
  }
}

function mayBeIncomplete({ kind }: SettingsError): boolean {
  return kind !== 'invalid';
}
