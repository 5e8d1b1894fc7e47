import type { SocketAddress } from '@canvasridge/addresses';
import type { Clock } from '@canvasridge/clock';
import type { FleetState } from '@canvasridge/serving';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import { UnreadLog } from '../peers/unread-log.js';
import { PART_METHOD, unpack, type PartReply, type PartRequest } from './configuration-parts.js';
import { partReply } from './configuration-protocol.js';
import type { PeerCaller } from './peer-caller.js';

export interface ConfigurationFetcherOptions {
  readonly clock: Clock;
  readonly fleet: FleetState;
  readonly network: PeerCaller;
  readonly telemetry: Telemetry;
}

/** Initial timeout for a part: a peer queues at most four parts for this node, 0.1 s of the slowest link. */
const FIRST_TIMEOUT_MS = 300;
/**
 * The next part is awaited for this many times as long as the last one took, but at least FIRST_TIMEOUT_MS
 * and at most MAX_TIMEOUT_MS.
 */
const TIMEOUT_FACTOR = 4;
const MAX_TIMEOUT_MS = 2000;
/** Pause before a peer whose link is full is asked again. */
const BUSY_PAUSE_MS = 60;
/**
 * A peer of another zone is asked if no peer of this zone has delivered anything for this long: traffic
 * between zones is expensive.
 */
const OTHER_ZONE_AFTER_MS = 400;

/** Peers of which it is remembered that their configuration could not be read. */
const MAX_REFUSED = 512;

/** A peer that announced a newer configuration. */
interface Source {
  readonly address: SocketAddress;
  readonly isSameZone: boolean;
}

/** The parts of one packed configuration that have arrived so far. */
interface PartialConfiguration {
  readonly version: number;
  readonly digest: string;
  readonly totalBytes: number;
  readonly chunks: Buffer[];
  receivedBytes: number;
}

/**
 * Fetches a newer configuration from the peers that have announced one. One part is requested at a time, from
 * one peer; if a peer does not answer, the next one is asked for the rest, so that nothing that has arrived
 * is sent again. The timeout for a part follows the time that parts take.
 */
export class ConfigurationFetcher {
  readonly #options: ConfigurationFetcherOptions;
  readonly #log: UnreadLog;
  #sources: Source[] = [];
  /** By address: the version that was fetched from this peer and could not be read. It is announced again and again. */
  readonly #refused = new Map<string, number>();
  #wanted = 0;
  #partial: PartialConfiguration | undefined;
  #running = false;
  #stopped = false;
  #timeoutMs = FIRST_TIMEOUT_MS;
  #progressMs = 0;

  constructor(options: ConfigurationFetcherOptions) {
    this.#options = options;
    this.#log = new UnreadLog(options.telemetry);
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Records that a peer holds this version.
   * @param isSameZone whether the peer is in this node's zone
   */
  offered(version: number, address: SocketAddress, isSameZone: boolean): void {
    const { clock, fleet, telemetry } = this.#options;
    if (version <= fleet.configurationVersion || this.#stopped) return;
    if (this.#refused.get(address) === version) return;
    this.#wanted = Math.max(this.#wanted, version);
    const others = this.#sources.filter((source) => source.address !== address);
    this.#sources = [...others, { address, isSameZone }];
    if (this.#running) return;
    this.#running = true;
    this.#progressMs = clock.now();
    runInBackground(telemetry, 'configuration-fetch', () => this.#fetch());
  }

  async #fetch(): Promise<void> {
    try {
      await this.#fetchWanted();
    } finally {
      this.#sources = [];
      this.#partial = undefined;
      this.#running = false;
    }
  }

  async #fetchWanted(): Promise<void> {
    const { clock, fleet, telemetry } = this.#options;
    const startedMs = clock.now();
    let calls = 0;
    while (!this.#stopped && this.#wanted > fleet.configurationVersion) {
      const source = this.#nextSource();
      if (source === undefined) {
        if (this.#sources.length === 0) break;
        await clock.sleep(BUSY_PAUSE_MS);
        continue;
      }
      calls += 1;
      await this.#askPart(source);
    }
    telemetry.event('info', 'configuration.fetched', 'configuration', {
      wanted: this.#wanted,
      version: fleet.configurationVersion,
      tookMs: Math.round(clock.now() - startedMs),
      calls,
      timeoutMs: Math.round(this.#timeoutMs),
    });
  }

  /**
   * The first peer of this zone; one of another zone only after some time without progress. Undefined while
   * there is none to ask.
   */
  #nextSource(): Source | undefined {
    const sameZoneSource = this.#sources.find(({ isSameZone }) => isSameZone);
    if (sameZoneSource !== undefined) return sameZoneSource;
    const idleMs = this.#options.clock.now() - this.#progressMs;
    return idleMs >= OTHER_ZONE_AFTER_MS || this.#partial !== undefined ? this.#sources[0] : undefined;
  }

  async #askPart(source: Source): Promise<void> {
    const { clock, fleet, network } = this.#options;
    const request: PartRequest = {
      above: fleet.configurationVersion,
      offset: this.#partial?.receivedBytes ?? 0,
      ...(this.#partial === undefined ? {} : { digest: this.#partial.digest }),
    };
    const askedMs = clock.now();
    const call = network.to(source.address).call(PART_METHOD, request, this.#timeoutMs);
    const answer = await call;
    const reply =
      answer === undefined
        ? undefined
        : this.#log.read(partReply, 'peer.answer-unread', source.address, answer);
    if (reply === undefined) {
      this.#timeoutMs = Math.min(this.#timeoutMs * 2, MAX_TIMEOUT_MS);
      this.#removeSource(source);
    } else if (reply.kind === 'none') this.#removeSource(source);
    else if (reply.kind === 'busy') {
      this.#moveToEnd(source);
      await clock.sleep(BUSY_PAUSE_MS);
    } else {
      const tookMs = clock.now() - askedMs;
      this.#timeoutMs = Math.min(Math.max(tookMs * TIMEOUT_FACTOR, FIRST_TIMEOUT_MS), MAX_TIMEOUT_MS);
      this.#addPart(reply, source);
    }
  }

  #addPart(part: PartReply & { kind: 'part' }, source: Source): void {
    this.#progressMs = this.#options.clock.now();
    if (this.#partial?.digest !== part.digest) {
      const { version, digest, totalBytes } = part;
      this.#partial = { version, digest, totalBytes, chunks: [], receivedBytes: 0 };
    }
    const partial = this.#partial;
    const bytes = Buffer.from(part.data, 'base64');
    if (part.offset !== partial.receivedBytes || bytes.length === 0) {
      this.#removeSource(source);
      return;
    }
    partial.chunks.push(bytes);
    partial.receivedBytes += bytes.length;
    if (partial.receivedBytes >= partial.totalBytes) this.#finish(partial, source);
  }

  #finish(partial: PartialConfiguration, source: Source): void {
    this.#partial = undefined;
    const { fleet } = this.#options;
    const { version, digest, chunks } = partial;
    try {
      const configuration = unpack({ version, digest, bytes: Buffer.concat(chunks) });
      if (configuration !== undefined) {
        fleet.applyConfiguration(configuration);
        return;
      }
      this.#reject(source, version, 'digest differs');
    } catch (cause) {
      this.#refuse(source, version);
      this.#reject(source, version, String(cause));
    }
  }

  #refuse({ address }: Source, version: number): void {
    const [oldest] = this.#refused.keys();
    if (this.#refused.size >= MAX_REFUSED && oldest !== undefined) this.#refused.delete(oldest);
    this.#refused.set(address, version);
  }

  #reject(source: Source, version: number, problem: string): void {
    this.#options.telemetry.event('error', 'configuration.unreadable', source.address, { version, problem });
    this.#removeSource(source);
  }

  #removeSource(source: Source): void {
    this.#sources = this.#sources.filter(({ address }) => address !== source.address);
  }

  #moveToEnd(source: Source): void {
    this.#removeSource(source);
    this.#sources = [...this.#sources, source];
  }
}
