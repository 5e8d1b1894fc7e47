import type { Clock, Random } from '@canvasridge/clock';
import type { BackendDescription } from '@canvasridge/serving';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from '../cluster/cluster.js';
import type { PeerCaller } from '../cluster/peer-caller.js';
import { anyTrue } from '../paths/any-true.js';
import type { FleetPaths } from '../paths/fleet-paths.js';
import { REACHES_METHOD, reachesReply, type ReachesParams, type ReachesReply } from './relay-protocol.js';

export interface RelayPeersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly cluster: Pick<Cluster, 'selfId' | 'serving' | 'busy' | 'peerAddress'>;
  readonly paths: Pick<FleetPaths, 'hasLost'>;
  readonly network: PeerCaller;
  readonly telemetry: Pick<Telemetry, 'event'>;
  /** Requests that this node relays through a peer now. */
  readonly running: (peerId: string) => number;
}

/** Time within which a peer says whether it reaches a service; it may have to try. */
const ANSWER_TIMEOUT_MS = 700;
/** A peer's answer is relied upon for this long, and asked for again when this share of it has passed. */
const CONFIRMED_MS = 2000;
const REFRESH_SHARE = 0.4;
/** Peers asked at a time: enough that some reach the service when a zone is cut off. */
const PEERS_ASKED = 6;
/** Pause after a round in which no peer reached the service; requests that come meanwhile share the next round. */
const VAIN_ROUND_PAUSE_MS = 100;
const ASK_TASK = 'relay-peers';

/** Chooses the nodes that relay requests: those that said recently that they reach the service. */
export class RelayPeers {
  readonly #options: RelayPeersOptions;
  /** By service and member: when it confirmed that it reaches the service. */
  readonly #confirmed = new Map<string, Map<string, number>>();
  readonly #asking = new Map<string, Promise<boolean>>();
  /** By service: when the next round may begin. */
  readonly #nextRoundMs = new Map<string, number>();

  constructor(options: RelayPeersOptions) {
    this.#options = options;
  }

  /**
   * The confirmed peer through which this node relays least, after asking if none is known; undefined if
   * there is none.
   */
  async pick(service: string, excluded: ReadonlySet<string>): Promise<string | undefined> {
    const known = this.#least(service, excluded);
    if (known !== undefined) {
      if (this.#isDue(service)) runInBackground(this.#options.telemetry, ASK_TASK, () => this.ask(service));
      return known;
    }
    await this.ask(service);
    return this.#least(service, excluded);
  }

  /**
   * Asks some peers whether they reach a service. Resolves to true when one has confirmed it, or to false when all
   * have answered; concurrent calls share the answers.
   */
  ask(service: string): Promise<boolean> {
    const running = this.#asking.get(service);
    if (running !== undefined) return running;
    const asking = this.#askSome(service).finally(() => this.#asking.delete(service));
    this.#asking.set(service, asking);
    return asking;
  }

  /** Resolves to whether a backend answers a peer now. A peer that does not say is not chosen again until it confirms. */
  async isAnswering({ service, id: backend }: BackendDescription, peerId: string): Promise<boolean> {
    const reply = await this.#question(peerId, { service, backend });
    if (reply === undefined) this.failed(service, peerId);
    return reply?.reaches === true;
  }

  /** Call it when a peer could not relay a request. */
  failed(service: string, peerId: string): void {
    this.#confirmed.get(service)?.delete(peerId);
  }

  #least(service: string, excluded: ReadonlySet<string>): string | undefined {
    const { running } = this.#options;
    let best: string | undefined;
    let bestRunning = Infinity;
    for (const id of this.#options.random.shuffle(this.#usable(service))) {
      const count = running(id);
      if (excluded.has(id) || count >= bestRunning) continue;
      best = id;
      bestRunning = count;
    }
    return best;
  }

  #usable(service: string): string[] {
    const { clock, cluster, paths } = this.#options;
    const oldestMs = clock.now() - CONFIRMED_MS;
    const serving = new Set(cluster.serving().map(({ id }) => id));
    return [...(this.#confirmed.get(service) ?? [])]
      .filter(([id, ms]) => ms >= oldestMs && serving.has(id) && !paths.hasLost(id, service))
      .map(([id]) => id);
  }

  #isDue(service: string): boolean {
    const newestMs = Math.max(-Infinity, ...(this.#confirmed.get(service)?.values() ?? []));
    return this.#options.clock.now() - newestMs > CONFIRMED_MS * REFRESH_SHARE;
  }

  async #askSome(service: string): Promise<boolean> {
    const { clock, random, cluster, paths, telemetry } = this.#options;
    const others = cluster.serving().filter(({ id }) => id !== cluster.selfId && !paths.hasLost(id, service));
    if (others.length === 0) return false;
    const pauseMs = (this.#nextRoundMs.get(service) ?? -Infinity) - clock.now();
    if (pauseMs > 0) await clock.sleep(pauseMs);
    const busy = cluster.busy();
    const shuffled = random.shuffle(others.map(({ id }) => id));
    const asked = [...shuffled.filter((id) => !busy.has(id)), ...shuffled.filter((id) => busy.has(id))];
    const answers = asked.slice(0, PEERS_ASKED).map((id) => this.#askOne(service, id));
    const isReached = await anyTrue(telemetry, ASK_TASK, answers);
    if (isReached) this.#nextRoundMs.delete(service);
    else this.#nextRoundMs.set(service, clock.now() + VAIN_ROUND_PAUSE_MS);
    return isReached;
  }

  async #askOne(service: string, id: string): Promise<boolean> {
    const { clock } = this.#options;
    if ((await this.#question(id, { service }))?.reaches !== true) return false;
    const confirmed = this.#confirmed.get(service) ?? new Map<string, number>();
    this.#confirmed.set(service, confirmed);
    confirmed.set(id, clock.now());
    return true;
  }

  /** Undefined if the peer gave no usable answer in time; a node of a build that relays nothing answers with an error. */
  async #question(id: string, params: ReachesParams): Promise<ReachesReply | undefined> {
    const { cluster, network } = this.#options;
    const address = cluster.peerAddress(id);
    if (address === undefined) return undefined;
    const reply = await network.to(address).call(REACHES_METHOD, params, ANSWER_TIMEOUT_MS);
    return reachesReply.safeParse(reply).data;
  }
}
