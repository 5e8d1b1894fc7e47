import type { Clock, Random } from '@canvasridge/clock';
import type { BackendDescription, FleetState } from '@canvasridge/serving';
import type { BackendConnections } from '../backends/backend-connections.js';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import { anyTrue } from './any-true.js';
import type { PathProbe } from './http-probe.js';

export interface BackendResponsivenessOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: Pick<FleetState, 'backendsOf'>;
  readonly connections: Pick<BackendConnections, 'lastReceivedMs'>;
  readonly probe: PathProbe;
  readonly telemetry: Pick<Telemetry, 'event'>;
}

/** A backend that sent something within this time answers. */
const HEARD_WITHIN_MS = 250;
/** A backend answers a probe within this time, also from another region. */
const PROBE_TIMEOUT_MS = 400;
/** An unanswered probe is not repeated for this long, however many requests ask. */
const SILENT_FOR_MS = 400;
/** Other backends of a service that are probed at a time. */
const BACKENDS_PROBED = 2;
const PROBE_TASK = 'backend-probe';

/** Tells backends that answer now from those that are silent: by what they send this node, or else by a probe. */
export class BackendResponsiveness {
  readonly #options: BackendResponsivenessOptions;
  /** Probes that run, or that ended without an answer just now, by backend id. */
  readonly #probes = new Map<string, Promise<boolean>>();

  constructor(options: BackendResponsivenessOptions) {
    this.#options = options;
  }

  /** Resolves to whether the backend answers now. */
  answers(backend: BackendDescription): Promise<boolean> {
    return this.#isHeard(backend) ? Promise.resolve(true) : this.#probe(backend);
  }

  /** Resolves to whether any ready backend of the service besides one answers now. */
  async anyAnswersBut(service: string, exceptId: string): Promise<boolean> {
    const { fleet, random, telemetry } = this.#options;
    const others = [...fleet.backendsOf(service)].filter(
      ({ id, state }) => id !== exceptId && state === 'ready',
    );
    if (others.some((backend) => this.#isHeard(backend))) return true;
    // Known to be silent first, so that requests that ask one after the other share their probes.
    const probed = others.filter(({ id }) => this.#probes.has(id));
    const rest = random.shuffle(others.filter(({ id }) => !this.#probes.has(id)));
    const asked = [...probed, ...rest].slice(0, BACKENDS_PROBED);
    return anyTrue(
      telemetry,
      PROBE_TASK,
      asked.map((backend) => this.#probe(backend)),
    );
  }

  #isHeard({ id }: BackendDescription): boolean {
    const { clock, connections } = this.#options;
    const receivedMs = connections.lastReceivedMs(id);
    return receivedMs > 0 && clock.now() - receivedMs <= HEARD_WITHIN_MS;
  }

  #probe({ id, address }: BackendDescription): Promise<boolean> {
    const known = this.#probes.get(id);
    if (known !== undefined) return known;
    const { probe, telemetry } = this.#options;
    const answered = probe.answers(address, PROBE_TIMEOUT_MS);
    this.#probes.set(id, answered);
    runInBackground(telemetry, PROBE_TASK, () => this.#forget(id, answered));
    return answered;
  }

  async #forget(id: string, answered: Promise<boolean>): Promise<void> {
    try {
      if (!(await answered)) await this.#options.clock.sleep(SILENT_FOR_MS);
    } finally {
      this.#probes.delete(id);
    }
  }
}
