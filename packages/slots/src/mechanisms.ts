/**
 * Mechanisms of the scheduling policy that a setting can disable, to measure the effect of each. All are enabled unless
 * the setting names them; no shipped example does.
 */
export const MECHANISMS = [
  /** Prefill speeds of engines are learnt. Disabled: the initial estimate is used. */
  'learnt-speed',
  /** Engines that check fences are taken at once when their holder is gone. Disabled: only after a whole lease. */
  'take-at-once',
  /** Nodes report their running requests to a new leader. */
  'told-uses',
  /** The placement of loads considers the prefill work recently sent to engines. Disabled: only their current backlog. */
  'recent-work',
  /** An adapter is copied to another engine just to save time only while slots are spare. Disabled: whenever it is quicker. */
  'spare-copies',
  /** A load is assumed to overlap with the engine's backlog. Disabled: their times are added. */
  'overlapped-load',
  /** Adapters are preferably loaded on engines that have them in host memory. Disabled: all engines count the same. */
  'adapter-memory',
  /** Requests that will not get an engine in time are refused early. */
  'early-refusal',
  /** Retries after a refusal go before other requests of the same age. */
  'returned-first',
  /** Tenants share engines by weighted fair queueing while several of them wait. */
  'fair-tenants',
  /** Kinds of request that are served far less often than the rest, or less often than less urgent ones, come first. */
  'least-share',
  /** Requests that can no longer meet their objective wait behind the others. */
  'late-last',
  /** Backends with few slots are granted to requests by one node for all. Disabled: each node counts its own requests. */
  'granted-backends',
  /** A node that knows no configuration yet tells clients to return later the longer that lasts. Disabled: a fixed time. */
  'outage-retry',
  /** The time that loads take is learnt from bounds. Disabled: it is raised by each miss and lowered by each hit. */
  'load-time-bounds',
  /** How many adapters engines keep in host memory is learnt. Disabled: the initial estimate is used. */
  'learnt-memory',
  /** Engines are compared by how fast each one decodes and reads prompts. Disabled: running requests cost the same on all. */
  'engine-pace',
  /** Engines are spared prompts that would delay the streams running there. */
  'stream-pauses',
  /** Engines in the zone of the requesting node are preferred if they are otherwise equal. */
  'own-zone',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

/** The mechanisms that are disabled. */
export type DisabledMechanisms = ReadonlySet<Mechanism>;
