import type { Clock } from '@canvasridge/clock';
import type { EngineProfile } from '@canvasridge/serving';
import type { EngineEntry } from './engine-entry.js';
import type { EngineSlots } from './engine-slots.js';
import type { OrderLease } from './order-lease.js';
import { StoreLoadBudget } from './store-load-budget.js';

export interface ModelLoaderOptions {
  readonly clock: Clock;
  readonly engines: () => Iterable<EngineEntry>;
  /** Pause between two looks at an engine that loads a model. */
  readonly pollMs: number;
  readonly after: (delayMs: number, action: () => void) => void;
  readonly onChange: () => void;
}

/** Loads base models on engines that hold none, as after a restart. */
export class ModelLoader {
  readonly #options: ModelLoaderOptions;
  readonly #budget: StoreLoadBudget;
  /** Busy engines whose reports are read again. */
  readonly #polled = new WeakSet<EngineSlots>();

  constructor(options: ModelLoaderOptions) {
    this.#options = options;
    this.#budget = new StoreLoadBudget(options.clock);
  }

  setRate(loadsPerSecond: number): void {
    this.#budget.setRate(loadsPerSecond);
  }

  /** Orders a load wherever an engine holds no model, as far as the weight store's rate allows. */
  loadMissing(): void {
    for (const { slots, lease } of this.#options.engines()) {
      if (!lease.held || slots.busy || slots.models.size > 0 || slots.backend.state !== 'ready') continue;
      const model = this.#scarcestModel(slots.profile);
      if (model === undefined || !this.#budget.take()) continue;
      slots.busy = true;
      void lease
        .order({ action: 'load', model, adapter: undefined })
        .then(() => this.pollUntilIdle(slots, lease));
    }
  }

  /**
   * Reads reports of a busy engine until it is not busy any more. Whoever keeps an engine from loads since a
   * report showed it busy has to see to it that another report is read: nothing else tells of the end.
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
