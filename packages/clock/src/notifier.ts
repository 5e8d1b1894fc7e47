/** Wakes tasks that wait for a change. Each call of `notify` ends the waits that began before it. */
export class Notifier {
  #waiters: (() => void)[] = [];

  wait(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiters.push(resolve);
    });
  }

  notify(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }
}
