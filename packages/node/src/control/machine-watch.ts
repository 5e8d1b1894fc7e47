import { jittered, type Clock, type Random } from '@canvasridge/clock';
import type { Machine, MachineList } from '@canvasridge/domain';
import { keepRunning, type Telemetry } from '@canvasridge/telemetry';

const POLL_MS = 3000;

/**
 * Polls the platform's machine list, which names seed nodes for membership and the machines that are leaving.
 */
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
    keepRunning({ telemetry: this.#telemetry, clock: this.#clock }, 'machine-watch', () => this.#poll());
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Whether the machine list has a machine as leaving; false for machines that are not listed. */
  isLeaving(machine: string | undefined): boolean {
    return machine !== undefined && this.#machines.get(machine)?.state === 'leaving';
  }

  /** Ids of all entry machines, including leaving ones. */
  entryNodes(): string[] {
    return [...this.#machines.values()]
      .filter((machine) => machine.role === 'entry')
      .map((machine) => machine.id);
  }

  /** Gossip addresses of the entry machines. */
  seeds(): string[] {
    return [...this.#machines.values()].flatMap((machine) =>
      machine.role === 'entry' && machine.gossip !== undefined ? [machine.gossip] : [],
    );
  }

  async #poll(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const answer = await this.#list.list();
      // While the list cannot be read, the last one stays in use: an outage of the service does not mean that
      // machines are gone.
      if (answer.isOk()) this.#apply(answer.value);
      await this.#clock.sleep(jittered(POLL_MS, this.#random), this.#stop.signal);
    }
  }

  #apply(machines: readonly Machine[]): void {
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
