import type { Clock } from '@canvasridge/clock';
import type { Machine } from '@canvasridge/domain';

/** Emulates the machine list, on which each change becomes visible after a lag. */
export class MachineListEmulator {
  readonly #clock: Clock;
  readonly #machines = new Map<string, Machine>();
  #visibleMachines: readonly Machine[] = [];
  lagMs: number;

  constructor(clock: Clock, lagMs: number) {
    this.#clock = clock;
    this.lagMs = lagMs;
  }

  /** Adds or updates a machine. The change is visible after the lag, or at once with `immediate`. */
  set(machine: Machine, immediate = false): void {
    this.#machines.set(machine.id, machine);
    this.#publishList(immediate);
  }

  /** Removes a machine. The change is visible after the lag. */
  remove(id: string): void {
    this.#machines.delete(id);
    this.#publishList(false);
  }

  list(): readonly Machine[] {
    return this.#visibleMachines;
  }

  #publishList(immediate: boolean): void {
    const snapshot = [...this.#machines.values()];
    if (immediate) this.#visibleMachines = snapshot;
    else this.#clock.setTimer(this.lagMs, () => (this.#visibleMachines = snapshot));
  }
}
