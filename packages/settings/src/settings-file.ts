import type { Clock } from '@canvasridge/clock';
import type { Result } from 'neverthrow';
import type { z } from 'zod';
import { readJsonFile, type SettingsError } from './document.js';

/** Time within which a settings file that can't be read has to become complete. */
const COMPLETE_WITHIN_MS = 5000;
const PAUSE_MS = 50;

export interface SettingsFileOptions<T> {
  readonly file: string;
  readonly schema: z.ZodType<T>;
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  /** Called once in each read that waits for the file to be complete. */
  readonly onWaiting: (error: SettingsError) => void;
}

/**
 * The settings file of a process, which whoever runs the process may write at any time. A file that is missing or no
 * whole document is read again for a while, as it may be in the middle of being written. A whole document with wrong
 * values is an error at once.
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
    return this.#isReading ? undefined : this.read();
  }

  /** Reads the file until no change has been announced meanwhile. */
  async read(): Promise<Result<T, SettingsError>> {
    this.#isReading = true;
    try {
      for (;;) {
        const changes = this.#changes;
        const read = await this.#readWhenComplete();
        if (changes === this.#changes) return read;
      }
    } finally {
      this.#isReading = false;
    }
  }

  async #readWhenComplete(): Promise<Result<T, SettingsError>> {
    const { file, schema, clock, onWaiting } = this.#options;
    const deadlineMs = clock.now() + COMPLETE_WITHIN_MS;
    for (let isFirst = true; ; isFirst = false) {
      const read = await readJsonFile(file, schema);
      if (read.isOk() || !mayBeIncomplete(read.error) || clock.now() + PAUSE_MS > deadlineMs) return read;
      if (isFirst) onWaiting(read.error);
      await clock.sleep(PAUSE_MS);
    }
  }
}

function mayBeIncomplete({ kind }: SettingsError): boolean {
  return kind !== 'invalid';
}
