import type { Clock } from '@canvasridge/clock';
import type { BackendNotice } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from '../cluster/cluster.js';
import { peerRecords } from '../cluster/peer-records.js';

export interface RejectionLimitsOptions {
  readonly clock: Clock;
  readonly cluster: Pick<
    Cluster,
    'changes' | 'processToken' | 'publishRecord' | 'publishedRecords' | 'selfId'
  >;
  readonly telemetry: Telemetry;
}

interface HeardLimit {
  readonly perSecond: number;
  readonly heardMs: number;
}

const RECORD_KEY = 'rejection-limits';
/** A limit is forgotten this long after the last answer that named it: its end shows in answers only. */
const EXPIRY_MS = 10_000;

/**
 * Services whose backends fail if they turn away more than a number of requests in a second for want of room.
 * They say so in all their answers; each node publishes what it hears, since the node that grants a service's
 * backends may get none of their answers itself.
 */
export class RejectionLimits {
  readonly #options: RejectionLimitsOptions;
  readonly #heard = new Map<string, HeardLimit>();
  #published = '';
  #fleetWide: ReadonlyMap<string, number> = new Map();
  #readAtChange = -1;

  constructor(options: RejectionLimitsOptions) {
    this.#options = options;
  }

  /** Records what an answer of a service's backend says. */
  recordNotice(service: string, limit: BackendNotice['rejectionLimit']): void {
    if (limit === undefined) return;
    const known = this.#heard.get(service);
    if (limit === 'none') {
      if (known !== undefined) this.#set(service, undefined);
    } else if (known?.perSecond === limit) {
      this.#heard.set(service, { perSecond: limit, heardMs: this.#options.clock.now() });
    } else this.#set(service, limit);
  }

  /** Requests that a backend of the service may turn away in a second; undefined for any number. */
  perSecond(service: string): number | undefined {
    const own = this.#heard.get(service)?.perSecond;
    const others = this.#others().get(service);
    return own === undefined || others === undefined ? (own ?? others) : Math.min(own, others);
  }

  /** Forgets limits that were not named for long; call it about every second. */
  update(): void {
    const oldestMs = this.#options.clock.now() - EXPIRY_MS;
    for (const [service, { heardMs }] of this.#heard) if (heardMs < oldestMs) this.#set(service, undefined);
  }

  #set(service: string, perSecond: number | undefined): void {
    const { clock, cluster, telemetry } = this.#options;
    if (perSecond === undefined) this.#heard.delete(service);
    else this.#heard.set(service, { perSecond, heardMs: clock.now() });
    telemetry.event('info', 'backend.rejection-limit', service, { perSecond: perSecond ?? 'none' });
    const limits = [...this.#heard].map(([name, limit]): [string, number] => [name, limit.perSecond]).sort();
    const text = JSON.stringify(limits);
    if (text === this.#published) return;
    this.#published = text;
    cluster.publishRecord(RECORD_KEY, limits.length === 0 ? null : { token: cluster.processToken, limits });
  }

  /** The lowest limit that any other node has published, by service. */
  #others(): ReadonlyMap<string, number> {
    const { cluster } = this.#options;
    if (this.#readAtChange === cluster.changes) return this.#fleetWide;
    this.#readAtChange = cluster.changes;
    const lowest = new Map<string, number>();
    for (const { member, value } of cluster.publishedRecords(peerRecords.rejectionLimits, RECORD_KEY)) {
      if (member.id === cluster.selfId) continue;
      for (const [service, perSecond] of value.limits)
        lowest.set(service, Math.min(perSecond, lowest.get(service) ?? Infinity));
    }
    this.#fleetWide = lowest;
    return lowest;
  }
}
