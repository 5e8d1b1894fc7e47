/**
 * Compares thresholds for the quarantine: after how many crashed backends a request is sent to no others. A
 * low threshold protects the backends better. But a harmless request that is retried at once after a crash
 * can meet a second and a third crash by chance, above all while another request keeps crashing backends.
 *
 * The simulation runs with the same seeds for each threshold: six engines and 30 requests per second. Beside
 * those, a request that crashes the engine that runs it is sent once a second. Each engine also crashes by
 * itself every half minute on average and is back after four seconds.
 */
import { Random, VirtualClock } from '@canvasridge/clock';
import test from 'ava';
import { InterruptionHistory } from '../src/index.js';

const ENGINES = 6;
const PER_SECOND = 30;
const SECONDS = 120;
const RESTART_MS = 4000;
const MEAN_TIME_TO_CRASH_MS = 30_000;
const PREFILL_MS = 350;
const STREAM_MS = 2000;
/** An interruption counts only during the prefill and this first part of the stream. */
const COUNTED_STREAM_MS = 1000;
/** Times that a node sends a request to a backend for each try of the client. */
const ATTEMPTS_PER_TRY = 2;
const CLIENT_TRIES = 2;
const CLIENT_PAUSE_MS = 500;
const CRASH_REQUEST_INTERVAL_MS = 1000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

interface Run {
  readonly fingerprint: string;
  /** Time at which the stream began; undefined during prefill. */
  begunMs: number | undefined;
  interrupt: () => void;
}

/** Simulates one fleet with one quarantine threshold. */
class FleetSimulation {
  readonly clock = new VirtualClock();
  readonly #random: Random;
  readonly #history: InterruptionHistory;
  readonly #threshold: number;
  readonly #quarantined = new Set<string>();
  readonly #engines = Array.from({ length: ENGINES }, (_, index) => ({
    id: `i${index}`,
    starts: 0,
    up: true,
    runs: new Set<Run>(),
  }));
  /** Engines that were crashed by the crashing request. */
  crashedEngines = 0;
  /** Harmless requests that were quarantined. */
  wronglyQuarantined = 0;
  requested = 0;

  constructor(threshold: number, seed: number) {
    this.#threshold = threshold;
    this.#random = new Random(seed);
    this.#history = new InterruptionHistory(this.clock);
    void this.#sendRequests();
    void this.#crashLoop();
    for (const engine of this.#engines) void this.#crashByItself(engine);
  }

  async #sendRequests(): Promise<void> {
    for (let index = 0; ; index += 1) {
      await this.clock.sleep(this.#random.exponential(1000 / PER_SECOND));
      this.requested += 1;
      void this.#client(`f${index}`);
    }
  }

  async #client(fingerprint: string): Promise<void> {
    for (let clientTry = 0; clientTry < CLIENT_TRIES; clientTry += 1) {
      for (let attempt = 0; attempt < ATTEMPTS_PER_TRY; attempt += 1) {
        if (this.#quarantined.has(fingerprint)) return;
        if (await this.#run(fingerprint)) return;
      }
      await this.clock.sleep(CLIENT_PAUSE_MS);
    }
  }

  async #crashLoop(): Promise<void> {
    for (;;) {
      await this.clock.sleep(CRASH_REQUEST_INTERVAL_MS);
      void this.#sendCrashingRequest();
    }
  }

  async #sendCrashingRequest(): Promise<void> {
    for (let attempt = 0; attempt < ATTEMPTS_PER_TRY && !this.#quarantined.has('ending'); attempt += 1) {
      const engine = this.#random.pick(this.#engines.filter(({ up }) => up));
      if (engine === undefined) return;
      await this.clock.sleep(PREFILL_MS);
      if (!engine.up) continue;
      this.crashedEngines += 1;
      this.#interrupted('ending', engine);
      this.#crash(engine);
    }
  }

  /** Resolves to whether the request was completed. */
  #run(fingerprint: string): Promise<boolean> {
    const engine = this.#random.pick(this.#engines.filter(({ up }) => up));
    if (engine === undefined) return Promise.resolve(false);
    return new Promise((resolve) => {
      const run: Run = {
        fingerprint,
        begunMs: undefined,
        interrupt: () => {
          const streamedMs = run.begunMs === undefined ? 0 : this.clock.now() - run.begunMs;
          if (streamedMs < COUNTED_STREAM_MS) this.#interrupted(fingerprint, engine);
          completion.cancel();
          resolve(false);
        },
      };
      engine.runs.add(run);
      this.clock.setTimer(PREFILL_MS, () => {
        run.begunMs = this.clock.now();
      });
      const completion = this.clock.setTimer(PREFILL_MS + STREAM_MS, () => {
        engine.runs.delete(run);
        resolve(true);
      });
    });
  }

  #interrupted(fingerprint: string, engine: { readonly id: string; readonly starts: number }): void {
    if (this.#quarantined.has(fingerprint)) return;
    if (this.#history.record(fingerprint, `${engine.id}/${engine.starts}`) < this.#threshold) return;
    this.#quarantined.add(fingerprint);
    if (fingerprint !== 'ending') this.wronglyQuarantined += 1;
  }

  #crash(engine: { starts: number; up: boolean; runs: Set<Run> }): void {
    const runs = [...engine.runs];
    engine.runs.clear();
    engine.up = false;
    for (const run of runs) run.interrupt();
    this.clock.setTimer(RESTART_MS, () => {
      engine.starts += 1;
      engine.up = true;
    });
  }

  async #crashByItself(engine: { starts: number; up: boolean; runs: Set<Run> }): Promise<void> {
    for (;;) {
      await this.clock.sleep(this.#random.exponential(MEAN_TIME_TO_CRASH_MS));
      if (engine.up) this.#crash(engine);
    }
  }
}

test('a threshold of three backends quarantines the crashing request and hardly any other', async (t) => {
  const results = new Map<number, { crashed: number; quarantined: number; requested: number }>();
  for (const threshold of [2, 3, 4]) {
    const sum = { crashed: 0, quarantined: 0, requested: 0 };
    for (const seed of SEEDS) {
      const simulation = new FleetSimulation(threshold, seed);
      await simulation.clock.runUntil(SECONDS * 1000);
      sum.crashed += simulation.crashedEngines;
      sum.quarantined += simulation.wronglyQuarantined;
      sum.requested += simulation.requested;
    }
    results.set(threshold, sum);
    t.log(
      `threshold ${threshold}: ${sum.crashed / SEEDS.length} backends crashed by the request on average, ` +
        `${sum.quarantined} of ${sum.requested} other requests quarantined wrongly`,
    );
  }
  const [two, three] = [results.get(2), results.get(3)];
  t.true((three?.crashed ?? Infinity) <= 4 * SEEDS.length);
  t.true((three?.quarantined ?? Infinity) < (two?.quarantined ?? 0) / 3);
});
