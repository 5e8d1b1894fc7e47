/**
 * Parts of the policy that can be switched off by a setting, to measure what each is worth. All of them are on
 * unless the setting names them; no shipped example does.
 */
export const MECHANISMS = [
  /** Reading speeds of engines are learnt; off: the first guess stands. */
  'learnt-speed',
  /** Engines that check fences are taken at once from a holder that is gone; off: a lease is waited. */
  'take-at-once',
  /** Nodes tell a new leader what they run on engines. */
  'told-uses',
  /** Homes of adapters are chosen by what engines were given to read of late; off: by the backlog alone. */
  'recent-work',
  /** Copies of adapters are made for time alone only while slots are idle; off: whenever they are quicker. */
  'spare-copies',
  /** A load is weighed beside the backlog it overlaps with; off: their times are added. */
  'overlapped-load',
  /** Adapters are loaded where an engine has them in memory; off: all engines count alike. */
  'adapter-memory',
  /** Requests that will not get an engine in time are refused early. */
  'early-refusal',
  /** Requests that come back after a refusal go before others of their age. */
  'returned-first',
  /** Tenants take turns where one of them would fill the list of those that wait. */
  'fair-tenants',
  /** Requests that are late already wait behind others. */
  'late-last',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

/** The mechanisms that are switched off. */
export type SwitchedOff = ReadonlySet<Mechanism>;
