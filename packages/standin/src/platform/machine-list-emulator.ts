import type { Clock } from '@canvasridge/clock';
import type { Machine } from '@canvasridge/domain';

/** Machine list that shows each change only after a lag. */
export class MachineListEmulator {
  readonly #clock: Clock;
  readonly #machines = new Map<string, Machine>();
  #visible: readonly Machine[] = [];
  lagMs: number;

  constructor(clock: Clock, lagMs: number) {
    this.#clock = clock;
    this.lagMs = lagMs;
  }

  /** Sets a machine's state, visible after the lag; at once with `immediate`. */
  set(machine: Machine, immediate = false): void {
    this.#machines.set(machine.id, machine);
    this.#show(immediate);
  }

  /** Takes a machine off the list, visible after the lag. */
  remove(id: string): void {
    this.#machines.delete(id);
    this.#show(false);
  }

  list(): readonly Machine[] {
    return this.#visible;
  }

  #show(immediate: boolean): void {
    const snapshot = [...this.#machines.values()];
    if (immediate) this.#visible = snapshot;
    else this.#clock.setTimer(this.lagMs, () => (this.#visible = snapshot));
  }
}
