import { jittered, type Clock, type Random } from '@canvasridge/clock';
import type { Machine, MachineList } from '@canvasridge/domain';
import type { Telemetry } from '@canvasridge/telemetry';

const POLL_MS = 3000;

/** Follows the platform's machine list: seeds for membership, and back ends that are leaving. */
export class MachineWatch {
  readonly #list: MachineList;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #telemetry: Telemetry;
  readonly #onChange: () => void;
  readonly #stop = new AbortController();
  #machines = new Map<string, Machine>();

  constructor(options: {
    readonly list: MachineList;
    readonly clock: Clock;
    readonly random: Random;
    readonly telemetry: Telemetry;
    readonly onChange: () => void;
  }) {
    this.#list = options.list;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#telemetry = options.telemetry;
    this.#onChange = options.onChange;
  }

  start(): void {
    void this.#task();
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Whether the platform says that a machine is leaving. Unknown machines count as staying. */
  isLeaving(machine: string | undefined): boolean {
    return machine !== undefined && this.#machines.get(machine)?.state === 'leaving';
  }

  /** Names of all entry machines, live or leaving. */
  entryNodes(): string[] {
    return [...this.#machines.values()]
      .filter((machine) => machine.role === 'entry')
      .map((machine) => machine.id);
  }

  /** Membership addresses of entry machines. */
  seeds(): string[] {
    return [...this.#machines.values()].flatMap((machine) =>
      machine.role === 'entry' && machine.gossip !== undefined ? [machine.gossip] : [],
    );
  }

  async #task(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const answer = await this.#list.list();
      // While the list cannot be read the last one holds: machines do not vanish with the service.
      if (answer.isOk()) this.#take(answer.value);
      await this.#clock.sleep(jittered(POLL_MS, this.#random), this.#stop.signal);
    }
  }

  #take(machines: readonly Machine[]): void {
    const next = new Map(machines.map((machine) => [machine.id, machine]));
    const changed = [...next.values()].filter(
      (machine) => this.#machines.get(machine.id)?.state !== machine.state,
    );
    const unchanged = changed.length === 0 && next.size === this.#machines.size;
    this.#machines = next;
    if (unchanged) return;
    for (const machine of changed) {
      if (machine.state === 'leaving') this.#telemetry.event('info', 'machine.leaving', machine.id);
    }
    this.#onChange();
  }
}
