import type { Clock } from '@canvasridge/clock';
import type { EngineProfile } from '@canvasridge/serving';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { EngineEntry } from './engine-entry.js';
import type { EngineSlots } from './engine-slots.js';
import type { OrderLease } from './order-lease.js';
import { StoreLoadBudget } from './store-load-budget.js';

export interface ModelLoaderOptions {
  readonly clock: Clock;
  readonly engines: () => Iterable<EngineEntry>;
  /** Pause between two reports of an engine that loads or unloads a model. */
  readonly pollMs: number;
  /** Calls back after a delay, unless the pool is closed by then. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Called when an engine's state changed, so that waiting requests may be served now. */
  readonly onChange: () => void;
  readonly telemetry: Pick<Telemetry, 'event'>;
}

/** Loads base models on engines that hold none, for example after a restart. */
export class ModelLoader {
  readonly #options: ModelLoaderOptions;
  readonly #budget: StoreLoadBudget;
  /** Busy engines whose reports are being polled. */
  readonly #polled = new WeakSet<EngineSlots>();

  constructor(options: ModelLoaderOptions) {
    this.#options = options;
    this.#budget = new StoreLoadBudget(options.clock);
  }

  setRate(loadsPerSecond: number): void {
    this.#budget.setRate(loadsPerSecond);
  }

  /** Orders a model load on each engine that holds no model, as far as the weight store's rate allows. */
  loadMissing(): void {
    for (const { slots, lease } of this.#options.engines()) {
      if (!lease.held || slots.busy || slots.models.size > 0 || slots.backend.state !== 'ready') continue;
      const model = this.#scarcestModel(slots.profile);
      if (model === undefined || !this.#budget.take()) continue;
      slots.busy = true;
      runInBackground(this.#options.telemetry, 'model-load', () =>
        lease
          .order({ action: 'load', model, adapter: undefined })
          .finally(() => this.pollUntilIdle(slots, lease)),
      );
    }
  }

  /**
   * Polls a busy engine's reports until it is idle or holds a model. Must be called whenever loads are held back because
   * a report showed the engine as busy: nothing else announces the end.
   */
  pollUntilIdle(slots: EngineSlots, lease: OrderLease): void {
    if (this.#polled.has(slots)) return;
    this.#polled.add(slots);
    this.#poll(slots, lease);
  }

  #poll(slots: EngineSlots, lease: OrderLease): void {
    this.#options.after(this.#options.pollMs, () => {
      if (slots.busy && slots.models.size === 0) {
        lease.settle();
        this.#poll(slots, lease);
        return;
      }
      this.#polled.delete(slots);
      this.#options.onChange();
    });
  }

  /** Returns the model held by the fewest engines among those that fit into the engine's memory. */
  #scarcestModel(profile: EngineProfile): string | undefined {
    let scarcest: string | undefined;
    let fewest = Infinity;
    for (const { name, sizeMb } of profile.models) {
      if (sizeMb > profile.memoryMb) continue;
      let holders = 0;
      for (const { slots } of this.#options.engines()) if (slots.models.has(name)) holders += 1;
      if (holders >= fewest) continue;
      scarcest = name;
      fewest = holders;
    }
    return scarcest;
  }
}
