/** Tells for how long a peer has taken nothing of what waits to be sent to it. */
export class ReadProgress {
  #sinceMs: number | undefined;

  /** Something was written, and may wait. */
  wrote(nowMs: number): void {
    this.#sinceMs ??= nowMs;
  }

  /** The operating system has taken some of it. */
  took(nowMs: number, isAllTaken: boolean): void {
    this.#sinceMs = isAllTaken ? undefined : nowMs;
  }

  /** 0 if nothing waits. */
  stalledMs(nowMs: number): number {
    return this.#sinceMs === undefined ? 0 : nowMs - this.#sinceMs;
  }
}
