import type { CostInputs } from './engine-cost.js';
import type { EngineSlots } from './engine-slots.js';
import type { DisabledMechanisms } from './mechanisms.js';
import type { PrefillSpeed } from './prefill-speed.js';
import { RECENT_WORK_SPAN_MS } from './prompt-backlog.js';
import type { SlotRequest } from './slot-request.js';
import { streamKind, type StreamKinds } from './stream-kinds.js';

export interface EngineCostsOptions {
  /** Prefill speed over all engines of the pool. */
  readonly poolSpeed: PrefillSpeed;
  readonly kinds: StreamKinds;
  readonly disabled: DisabledMechanisms;
}

/** What a load would mean for an engine, besides what {@link EngineCosts} knows. */
export interface PlannedLoad {
  /** Estimated time until the adapter is loaded, in milliseconds. */
  readonly loadMs: number;
  /** Request rate of the adapter that has to be evicted; 0 if there is room. */
  readonly evictedRate: number;
}

/** Gathers what is believed about an engine into the inputs of its cost for a request. */
export class EngineCosts {
  readonly #options: EngineCostsOptions;

  constructor(options: EngineCostsOptions) {
    this.#options = options;
  }

  get disabled(): DisabledMechanisms {
    return this.#options.disabled;
  }

  /** Inputs for running the request on an engine that has its adapter. */
  forGrant(slots: EngineSlots, request: SlotRequest, isAvoided: boolean, nowMs: number): CostInputs {
    return { ...this.#common(slots, request, slots.pace.momentary(nowMs), nowMs), isAvoided };
  }

  /** Inputs for loading the request's adapter on an engine and running it there. */
  forLoad(slots: EngineSlots, request: SlotRequest, planned: PlannedLoad, nowMs: number): CostInputs {
    return {
      ...this.#common(slots, request, slots.pace.lasting(nowMs), nowMs),
      loadMs: planned.loadMs,
      load: { evictedRate: planned.evictedRate, loading: slots.loadingCount },
    };
  }

  #common(slots: EngineSlots, request: SlotRequest, enginePace: number, nowMs: number): CostInputs {
    const { poolSpeed, kinds, disabled } = this.#options;
    const pace = disabled.has('engine-pace') ? 1 : enginePace;
    const { backend, backlog, streams } = slots;
    const isZoneKnown = backend.zone !== '' && request.zone !== undefined && request.zone !== '';
    return {
      backlogMs: backlog.remainingMs(nowMs),
      ownReadMs: request.promptTokens * poolSpeed.msPerToken * pace,
      loadMs: 0,
      running: slots.running,
      pace,
      streamMs: kinds.streamMs(streamKind(request)),
      eventMs: kinds.meanEventMs * pace,
      streams: streams.count,
      shortestGapMs: streams.shortestGapMs,
      recentWorkMs: backlog.recentWorkMs(nowMs),
      recentSpanMs: RECENT_WORK_SPAN_MS,
      isAvoided: false,
      crossesZone: isZoneKnown && backend.zone !== request.zone,
      load: undefined,
    };
  }
}
