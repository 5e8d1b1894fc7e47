import type { DisabledMechanisms } from './mechanisms.js';

/**
 * What the cost of sending a request to an engine, or of loading an adapter for it there, depends on. Times are in
 * milliseconds; paces are relative to the mean of the pool, above 1 if slower.
 */
export interface CostInputs {
  /** Time until the engine has read all prompts sent to it. */
  readonly backlogMs: number;
  /** Time in which the engine reads the request's own prompt. */
  readonly ownReadMs: number;
  /** Time until the adapter is loaded; 0 if it is. */
  readonly loadMs: number;
  /** Requests running on the engine. */
  readonly running: number;
  readonly pace: number;
  /** How long a stream of the request's kind takes after its first event on an engine of mean pace; 0 if unknown. */
  readonly streamMs: number;
  /** Usual time between two events of the streams running there, at the engine's pace; 0 if unknown. */
  readonly eventMs: number;
  /** Running streams that have an objective for pauses. */
  readonly streams: number;
  /** Shortest objective for pauses of those streams; Infinity if there are none. */
  readonly shortestGapMs: number;
  /** Prefill work recently sent to the engine. */
  readonly recentWorkMs: number;
  /** Span over which that work is summed. */
  readonly recentSpanMs: number;
  /** Whether the engine failed a request recently while most others did not. */
  readonly isAvoided: boolean;
  /** Whether the requesting node is in another zone. */
  readonly crossesZone: boolean;
  /** What a load there means besides; undefined if the engine has the adapter. */
  readonly load: LoadSideEffects | undefined;
}

export interface LoadSideEffects {
  /** Request rate of the adapter that has to be evicted; 0 if there is room. */
  readonly evictedRate: number;
  /** Adapters that the engine is loading. */
  readonly loading: number;
}

/** The parts of a cost, each in milliseconds of callers' time. */
export interface CostTerms {
  /** Until the prompt is read: queued prompts or the load, and its own. */
  readonly first: number;
  /** Slower end of the stream on a slow engine. */
  readonly end: number;
  /** Share of each decode step that goes to the requests already running. */
  readonly running: number;
  /** Pauses of the streams running there while the prompt is read. */
  readonly pauses: number;
  /** Prompts that will be read while the stream, or later ones of the adapter, run there. */
  readonly exposure: number;
  /** Failed a request recently. */
  readonly avoided: number;
  /** Later requests for the evicted adapter. */
  readonly eviction: number;
  /** Loads already in progress there. */
  readonly loading: number;
  /** Traffic between zones. */
  readonly zone: number;
}

/** Cost of each running request, as each takes a part of every decode step. */
const RUNNING_COST_MS = 8;
/** Worth of a delay at the end of a stream relative to one before its first event: its reader is still reading by then. */
const END_SHARE = 0.1;
/** Cost per ms of prefill recently sent to the engine: engines that got much work will likely get more. */
const RECENT_WORK_COST = 0.15;
/** Cost of an engine that failed a request recently: about the time that another failure and its retry take. */
const AVOIDED_COST_MS = 500;
/** Cost of each load in progress on the engine, which share its link. */
const LOADING_COST_MS = 40;
/** Cost of evicting an adapter, in ms per unit of its request rate. */
const EVICTION_COST_MS = 25;
/** Highest request rate that makes an eviction more expensive. */
const MAX_EVICTED_RATE = 4;
/** Time that a request to another zone takes longer: a round trip, and its share of links that are narrow. */
const ZONE_CROSSING_MS = 6;

/**
 * The cost of an engine for a request, by terms. It decides both which engine with the adapter runs a request and which
 * engine loads an adapter.
 */
export function engineCost(inputs: CostInputs, disabled: DisabledMechanisms): CostTerms {
  const hasPace = !disabled.has('engine-pace');
  const pace = hasPace ? inputs.pace : 1;
  const { load } = inputs;
  return {
    first: startMs(inputs, disabled) + (hasPace ? inputs.ownReadMs : 0),
    end: hasPace ? inputs.streamMs * inputs.pace * END_SHARE : 0,
    running: RUNNING_COST_MS * inputs.running * pace,
    pauses: disabled.has('stream-pauses') ? 0 : pausesMs(inputs),
    exposure: exposureMs(inputs, disabled),
    avoided: inputs.isAvoided ? AVOIDED_COST_MS : 0,
    eviction: load === undefined ? 0 : Math.min(load.evictedRate, MAX_EVICTED_RATE) * EVICTION_COST_MS,
    loading: load === undefined ? 0 : load.loading * LOADING_COST_MS,
    zone: inputs.crossesZone && !disabled.has('own-zone') ? ZONE_CROSSING_MS : 0,
  };
}

/** Sum of the terms, in milliseconds. */
export function totalMs(terms: CostTerms): number {
  let sum = 0;
  for (const ms of Object.values(terms) as number[]) sum += ms;
  return sum;
}

/** Name of the largest term. */
export function largestTerm(terms: CostTerms): string {
  let [largest, largestMs] = ['first', -Infinity];
  for (const [name, ms] of Object.entries(terms) as [string, number][]) {
    if (ms > largestMs) [largest, largestMs] = [name, ms];
  }
  return largest;
}

/** Expected longest pause of the streams running on an engine once it gets the prompt, at most. */
export function expectedPauseMs({ backlogMs, loadMs, ownReadMs, eventMs }: CostInputs): number {
  return eventMs + Math.max(backlogMs - loadMs, 0) + ownReadMs;
}

/** Whether reading the prompt there is expected to make running streams late that another engine or moment would spare. */
export function delaysStreams(inputs: CostInputs): boolean {
  return inputs.streams > 0 && isPauseAvoidable(inputs) && expectedPauseMs(inputs) > inputs.shortestGapMs;
}

/** False for a prompt so long that an engine of mean pace makes its streams late by reading it alone. */
function isPauseAvoidable({ ownReadMs, pace, shortestGapMs }: CostInputs): boolean {
  return ownReadMs / pace <= shortestGapMs;
}

/** The engine processes its queued prompts while it loads an adapter, so the two times overlap. */
function startMs({ loadMs, backlogMs }: CostInputs, disabled: DisabledMechanisms): number {
  return disabled.has('overlapped-load') ? loadMs + backlogMs : Math.max(loadMs, backlogMs);
}

/**
 * Each running stream pauses while the prompt is read. That harms little while the pause is far below the objective, and in
 * full once it reaches it.
 */
function pausesMs(inputs: CostInputs): number {
  if (inputs.streams === 0 || !isPauseAvoidable(inputs)) return 0;
  const nearness = Math.min(expectedPauseMs(inputs) / inputs.shortestGapMs, 1);
  return inputs.streams * inputs.ownReadMs * nearness ** 2;
}

/** A load exposes the streams of all later requests, a grant those of one. */
function exposureMs(inputs: CostInputs, disabled: DisabledMechanisms): number {
  if (inputs.load !== undefined)
    return disabled.has('recent-work') ? 0 : RECENT_WORK_COST * inputs.recentWorkMs;
  if (disabled.has('stream-pauses')) return 0;
  return RECENT_WORK_COST * inputs.recentWorkMs * Math.min(inputs.streamMs / inputs.recentSpanMs, 1);
}
