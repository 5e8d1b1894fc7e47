import { Random } from '@canvasridge/clock';
import { QuarantineFleet } from './quarantine-fleet.js';

const ENGINES = 8;
const CALLERS = 2;
const SETTLED_MS = 15_000;
const DURATION_MS = 30_000;
const ENGINE_RESTART_MS = 3200;
const MAX_ATTEMPTS = 2;
const MIN_GAP_MS = 600;
const GAP_RANGE_MS = 1500;
const MEAN_FAULT_GAP_MS = 1000;
/** A run crashes its engine within this time. */
const CRASH_WITHIN_MS = 400;
/** A run that nothing is received of is given up after this time. */
const SILENCE_MS = 900;
/** All nodes find after this time that an engine that crashed is not listed any more. */
const UNLISTED_AFTER_MS = 3600;
/** A node that was disturbed within this time need not know of the quarantine. */
const CONTACT_MS = 3000;

/** Faults that strike while the request goes on crashing engines. */
export type PlayFault =
  'restart' | 'herd-kill' | 'rolling-restart' | 'cut-from-nodes' | 'cut-from-engines' | 'client-left';

interface Engine {
  readonly id: string;
  starts: number;
  isUp: boolean;
  readonly runs: Set<() => void>;
}

/** How a run of the request ended, as its node sees it. `lost`: its process has ended meanwhile. */
type RunEnd = 'crash' | 'silent' | 'gone' | 'client-left' | 'lost';

/**
 * Several callers send a request that crashes each engine which begins to run it, at random nodes, while nodes restart,
 * and are cut off from each other or from the engines. Counts how often the request reaches engines after that.
 */
export class CrashingRequestPlay {
  readonly fleet: QuarantineFleet;
  readonly #random: Random;
  readonly #faults: readonly PlayFault[];
  readonly #engines: Engine[] = Array.from({ length: ENGINES }, (_, index) => ({
    id: `i${index}`,
    starts: 0,
    isUp: true,
    runs: new Set(),
  }));
  readonly #lives = new Map<string, number>();
  readonly #disturbedMs = new Map<string, number>();
  readonly #withoutPath = new Set<string>();
  #thirdCrashMs = Infinity;
  #endMs = 0;
  crashes = 0;
  /** Sends that reach an engine later than CONTACT_MS after the third crash, by nodes that were not disturbed within that time. */
  lateSends = 0;

  constructor(nodes: number, seed: number, faults: readonly PlayFault[]) {
    this.fleet = new QuarantineFleet(nodes, seed);
    this.#random = new Random(seed);
    this.#faults = faults;
  }

  async play(): Promise<void> {
    const { clock } = this.fleet.clusters;
    await this.fleet.run(SETTLED_MS);
    this.#endMs = clock.now() + DURATION_MS;
    for (let caller = 0; caller < CALLERS; caller += 1) void this.#call();
    if (this.#faults.length > 0) void this.#disturb();
    await this.fleet.run(DURATION_MS + CONTACT_MS);
  }

  async #call(): Promise<void> {
    const { clock } = this.fleet.clusters;
    while (clock.now() < this.#endMs) {
      const id = this.#random.pick(this.fleet.ids) ?? '';
      if (this.fleet.isRunning(id)) void this.#exchange(id);
      await clock.sleep(MIN_GAP_MS + this.#random.next() * GAP_RANGE_MS);
    }
  }

  /** What a node does with one request from a client. */
  async #exchange(id: string): Promise<void> {
    const { clock } = this.fleet.clusters;
    const node = this.fleet.node(id);
    const life = this.#lives.get(id);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const isQuarantined = node.remainingMs('f') !== undefined;
      if (isQuarantined && !(node.isTrialDue('f') && (await node.requestTrial('f')))) return;
      const engine = this.#random.pick(this.#engines);
      if (engine === undefined) return;
      const backend = `${engine.id}.${engine.starts}`;
      const sentMs = clock.now();
      // A connection to an engine that is down is refused, so the request does not reach it.
      if (engine.isUp) this.#recordSend(id);
      const end = await this.#run(id, engine);
      if (end === 'lost' || this.#lives.get(id) !== life) return;
      if (end === 'crash') await node.interrupted('f', backend, clock.now() - sentMs);
      if (end === 'silent' || end === 'client-left') node.unresolved('f', backend, clock.now() - sentMs);
      if (end === 'client-left') return;
    }
  }

  #run(id: string, engine: Engine): Promise<RunEnd> {
    const { clock } = this.fleet.clusters;
    const life = this.#lives.get(id);
    return new Promise((resolve) => {
      if (!engine.isUp) {
        void clock.sleep(1).then(() => resolve('gone'));
        return;
      }
      const onCrash = (): void => {
        if (this.#lives.get(id) !== life) resolve('lost');
        else if (!this.#withoutPath.has(id)) resolve('crash');
      };
      engine.runs.add(onCrash);
      const start = engine.starts;
      void clock.sleep(20 + this.#random.next() * CRASH_WITHIN_MS).then(() => {
        if (engine.isUp && engine.starts === start) this.#crash(engine);
      });
      void clock.sleep(SILENCE_MS).then(() => resolve('silent'));
      if (this.#faults.includes('client-left') && this.#random.next() < 0.2)
        void clock.sleep(this.#random.next() * CRASH_WITHIN_MS).then(() => resolve('client-left'));
    });
  }

  #recordSend(id: string): void {
    const nowMs = this.fleet.clusters.clock.now();
    const isInTouch = nowMs - (this.#disturbedMs.get(id) ?? -Infinity) > CONTACT_MS;
    if (isInTouch && nowMs - this.#thirdCrashMs > CONTACT_MS) this.lateSends += 1;
  }

  #crash(engine: Engine): void {
    const crashed = `${engine.id}.${engine.starts}`;
    engine.isUp = false;
    engine.starts += 1;
    this.crashes += 1;
    const { clock } = this.fleet.clusters;
    if (this.crashes === 3) this.#thirdCrashMs = clock.now();
    for (const onCrash of engine.runs) onCrash();
    engine.runs.clear();
    clock.setTimer(UNLISTED_AFTER_MS, () => {
      for (const id of this.fleet.ids) this.fleet.node(id).handleDeparture(crashed, 'gone');
    });
    clock.setTimer(ENGINE_RESTART_MS, () => {
      engine.isUp = true;
    });
  }

  async #disturb(): Promise<void> {
    const { clock } = this.fleet.clusters;
    while (clock.now() < this.#endMs) {
      await this.#strike(this.#random.pick(this.#faults) ?? 'restart');
      await clock.sleep(this.#random.exponential(MEAN_FAULT_GAP_MS));
    }
  }

  async #strike(fault: PlayFault): Promise<void> {
    const { clock } = this.fleet.clusters;
    const { ids } = this.fleet;
    const id = this.#random.pick(this.#random.next() < 0.6 ? this.fleet.homes() : ids) ?? ids[0] ?? '';
    const durationMs = this.#random.next() * 5000;
    switch (fault) {
      case 'restart':
        this.#restart(id);
        return;
      case 'herd-kill':
        for (const each of ids) if (this.#random.next() < 0.6) this.#restart(each);
        return;
      case 'rolling-restart':
        for (const each of ids) {
          this.#restart(each);
          await clock.sleep(600);
        }
        return;
      case 'cut-from-nodes':
        void this.#cutFromNodes(id, durationMs);
        return;
      case 'cut-from-engines':
        for (const each of ids) if (this.#random.next() < 0.5) void this.#cutFromEngines(each, durationMs);
        return;
      case 'client-left':
        return;
    }
  }

  #restart(id: string): void {
    this.#recordDisturbance(id, this.fleet.clusters.clock.now());
    this.#lives.set(id, (this.#lives.get(id) ?? 0) + 1);
    this.fleet.restart(id);
  }

  /** A node that restarts while it is cut off stays cut off. */
  #recordDisturbance(id: string, untilMs: number): void {
    this.#disturbedMs.set(id, Math.max(untilMs, this.#disturbedMs.get(id) ?? -Infinity));
  }

  async #cutFromNodes(id: string, durationMs: number): Promise<void> {
    const { clock } = this.fleet.clusters;
    const heal = this.fleet.cutOff(id);
    this.#recordDisturbance(id, clock.now() + durationMs);
    await clock.sleep(durationMs);
    heal();
  }

  /** Runs that the node has sent go on, but it learns nothing of them; later ones are sent through other nodes. */
  async #cutFromEngines(id: string, durationMs: number): Promise<void> {
    const { clock } = this.fleet.clusters;
    this.#withoutPath.add(id);
    this.#recordDisturbance(id, clock.now() + durationMs);
    await clock.sleep(durationMs);
    this.#withoutPath.delete(id);
  }
}
