import { hashSeed, type Clock } from '@canvasridge/clock';
import { runInBackground, type Telemetry } from '@canvasridge/telemetry';
import type { Cluster } from '../cluster/cluster.js';
import type { PeerCaller } from '../cluster/peer-caller.js';
import { KnownStreams, type KnownStream } from './known-streams.js';
import type { ReportedRuns } from './reported-runs.js';
import type { ServiceVersions } from './service-versions.js';
import {
  BEGAN_METHOD,
  FIND_METHOD,
  MAX_NAME_LENGTH,
  beganParams,
  findParams,
  findReply,
  type BegunStreams,
  type FindParams,
  type FindReply,
} from './stream-version-protocol.js';

/** A stream whose first event a backend has sent. */
export interface BegunStream {
  readonly service: string;
  /** The client's attempt that receives the first event. */
  readonly attemptId: string;
  /** Software version of the backend. */
  readonly version: string;
  /** Time for which the stream may be resumed, in milliseconds. */
  readonly lifeMs: number;
}

/**
 * The version that began a stream, and how it is known: by this node, by another one, by an engine that reported to a
 * node that it runs it, or as the only one of the service.
 */
export interface FoundVersion {
  readonly version: string;
  readonly from: 'memory' | 'peer' | 'report' | 'only';
}

export interface StreamVersionsOptions {
  /** Also advances while the machine is suspended. */
  readonly clock: Clock;
  readonly cluster: Pick<Cluster, 'selfId' | 'serving' | 'peerAddress' | 'processOf'>;
  readonly network: PeerCaller;
  readonly versions: ServiceVersions;
  readonly telemetry: Pick<Telemetry, 'event'>;
  readonly reportedRuns: Pick<ReportedRuns, 'find'>;
}

/** Stands for backends that tell no version. */
const NO_VERSION = '';
/** Nodes that are told of a stream: two may fail while it runs, beside the one that serves it. */
const HOME_COUNT = 3;
/** Nodes that are asked: more than are told, as nodes that have joined since may rank before those. */
const ASKED_COUNT = 8;
/** Streams are divided into this many groups, each with its homes, so that few rankings have to be computed. */
const GROUP_COUNT = 32;
/** Streams that begin within this time are told in one message. */
const BATCH_DELAY_MS = 20;
/** Streams in one message: some 20 KB. */
const MAX_BATCH = 1000;
/** A reachable node answers in a few milliseconds. */
const ANSWER_TIMEOUT_MS = 150;
const TELL_TIMEOUT_MS = 500;

/**
 * Remembers which software version began each resumable stream, so that any node can resume it. Each node remembers the
 * streams that it serves. While a service has several versions, or this node can't tell, it also tells a few homes,
 * as clients resume a stream at another node when its own has failed.
 */
export class StreamVersions {
  readonly #options: StreamVersionsOptions;
  readonly #streams: KnownStreams;
  /** Streams that began since the last batch. */
  #begun: KnownStream[] = [];
  #isHandingOver = false;
  /** Ranked ids of nodes by group, for one list of members. */
  #rankings = new Map<number, readonly string[]>();
  #rankedMembers: unknown;

  constructor(options: StreamVersionsOptions) {
    this.#options = options;
    this.#streams = new KnownStreams(options.clock);
  }

  /** Streams that this node remembers. */
  get size(): number {
    return this.#streams.size;
  }

  /** Records that a backend has sent the first event of a stream to a client of this node. */
  began({ service, attemptId, version, lifeMs }: BegunStream): void {
    // A message with a longer name would be rejected as a whole.
    if (attemptId.length > MAX_NAME_LENGTH || version.length > MAX_NAME_LENGTH) return;
    const untilMs = this.#options.clock.now() + lifeMs;
    const toldTo = new Set<string>();
    const stream: KnownStream = { service, attemptId, version, lifeMs, untilMs, isOwn: true, toldTo };
    this.#streams.add(stream);
    if (this.#begun.push(stream) > 1) return;
    this.#options.clock.setTimer(BATCH_DELAY_MS, () => this.#tell(this.#begun.splice(0)));
  }

  /** Finds the version that began a stream; undefined if no node knows it. */
  async find(query: FindParams): Promise<FoundVersion | undefined> {
    const { service, attemptId } = query;
    const { versions } = this.#options;
    versions.update();
    if (versions.onlyVersion(service, query.lifeMs) === NO_VERSION)
      return { version: NO_VERSION, from: 'only' };
    const known = attemptId === undefined ? undefined : this.#streams.find(service, attemptId);
    if (known !== undefined) return { version: known.version, from: 'memory' };
    const replies = await this.#ask(query);
    const told = replies.find(({ version }) => version !== undefined)?.version;
    if (told !== undefined) return { version: told, from: 'peer' };
    const answers = [this.#answer(query), ...replies];
    const reported = new Set(answers.flatMap((answer) => answer.reported ?? []));
    if (reported.size > 1) return undefined;
    for (const version of reported) return { version, from: 'report' };
    const only = onlyVersion(answers);
    return only === undefined ? undefined : { version: only, from: 'only' };
  }

  /** Answers a node that resumes a stream. */
  answerFind(params: unknown): FindReply | null {
    const { data } = findParams.safeParse(params);
    return data === undefined ? null : this.#answer(data);
  }

  /** Handles the message of a node that has begun streams, or that stops and hands over those that it knows of. */
  answerBegan(params: unknown): boolean {
    const { data } = beganParams.safeParse(params);
    const nowMs = this.#options.clock.now();
    for (const { service, version, leftMs, attemptIds } of data?.streams ?? [])
      for (const attemptId of attemptIds)
        if (this.#streams.find(service, attemptId) === undefined)
          this.#streams.add({
            service,
            attemptId,
            version,
            lifeMs: leftMs,
            untilMs: nowMs + leftMs,
            isOwn: false,
            toldTo: new Set(),
          });
    return data !== undefined;
  }

  /** Call it about once a second: tells new homes, and all homes if the service has got a second version. */
  update(): void {
    this.#streams.dropExpired();
    this.#tell(this.#streams.all());
  }

  /** Tells the homes of all streams that this node knows of, as it stops. */
  handOver(): void {
    this.#isHandingOver = true;
    this.#tell(this.#streams.all());
  }

  #reported({ service, attemptId, lifeMs }: FindParams): string | undefined {
    if (attemptId === undefined) return undefined;
    return this.#options.reportedRuns.find(service, attemptId, lifeMs);
  }

  #answer(query: FindParams): FindReply {
    const { service, attemptId, lifeMs } = query;
    const { versions } = this.#options;
    const known = attemptId === undefined ? undefined : this.#streams.find(service, attemptId);
    if (known !== undefined) return { version: known.version };
    const reported = this.#reported(query);
    if (reported !== undefined) return { reported };
    versions.update();
    const only = versions.onlyVersion(service, lifeMs);
    return only === undefined ? { isMixed: versions.isMixed(service, lifeMs) } : { only };
  }

  /** Asks the nodes that may know a stream. Resolves early if one of them does. */
  #ask(query: FindParams): Promise<FindReply[]> {
    const ids = this.#ranked(query.attemptId ?? '').slice(0, ASKED_COUNT);
    return new Promise((resolve) => {
      const replies: FindReply[] = [];
      let waiting = ids.length;
      if (waiting === 0) resolve(replies);
      for (const id of ids)
        runInBackground(this.#options.telemetry, 'stream-version', async () => {
          let reply: FindReply | undefined;
          try {
            reply = await this.#askNode(id, query);
          } finally {
            waiting -= 1;
            if (reply !== undefined) replies.push(reply);
            if (reply?.version !== undefined || waiting === 0) resolve(replies);
          }
        });
    });
  }

  async #askNode(id: string, query: FindParams): Promise<FindReply | undefined> {
    const { cluster, network } = this.#options;
    const address = cluster.peerAddress(id);
    if (address === undefined) return undefined;
    const reply = await network.to(address).call(FIND_METHOD, query, ANSWER_TIMEOUT_MS);
    return findReply.safeParse(reply).data;
  }

  /** Tells each home of the streams that its present process was not told of. */
  #tell(streams: Iterable<KnownStream>): void {
    this.#options.versions.update();
    const untold = new Map<string, KnownStream[]>();
    for (const stream of streams) {
      if (!this.#mustTell(stream)) continue;
      for (const id of this.#ranked(stream.attemptId).slice(0, HOME_COUNT)) {
        const token = this.#options.cluster.processOf(id)?.token;
        if (token === undefined || stream.toldTo.has(token)) continue;
        const missing = untold.get(id) ?? [];
        untold.set(id, missing);
        missing.push(stream);
      }
    }
    for (const [id, missing] of untold)
      for (let from = 0; from < missing.length; from += MAX_BATCH)
        runInBackground(this.#options.telemetry, 'stream-report', () =>
          this.#tellHome(id, missing.slice(from, from + MAX_BATCH)),
        );
  }

  /** Homes need no memory of a service with one version: see {@link ServiceVersions.onlyVersion}. */
  #mustTell({ service, lifeMs, isOwn }: KnownStream): boolean {
    const only = this.#options.versions.onlyVersion(service, lifeMs);
    if (only === NO_VERSION) return false;
    return this.#isHandingOver || (isOwn && only === undefined);
  }

  async #tellHome(id: string, streams: readonly KnownStream[]): Promise<void> {
    const { cluster, network, clock } = this.#options;
    const address = cluster.peerAddress(id);
    const token = cluster.processOf(id)?.token;
    if (address === undefined || token === undefined) return;
    // Marked before the answer, so that the next batch does not repeat them.
    for (const { toldTo } of streams) toldTo.add(token);
    let reply: unknown;
    try {
      const params = { streams: grouped(streams, clock.now()) };
      reply = await network.to(address).call(BEGAN_METHOD, params, TELL_TIMEOUT_MS);
    } finally {
      if (reply !== true) for (const { toldTo } of streams) toldTo.delete(token);
    }
  }

  /** The other nodes in the order in which they are homes of a stream. A restarted node keeps its rank. */
  #ranked(attemptId: string): readonly string[] {
    const { cluster } = this.#options;
    const members = cluster.serving();
    if (members !== this.#rankedMembers) {
      this.#rankedMembers = members;
      this.#rankings = new Map();
    }
    const group = hashSeed(attemptId) % GROUP_COUNT;
    let ranking = this.#rankings.get(group);
    if (ranking === undefined) {
      const ids = members.map(({ id }) => id).filter((id) => id !== cluster.selfId);
      const scores = new Map(ids.map((id) => [id, hashSeed(`streams-${group}/${id}`)]));
      ranking = ids.sort((a, b) => (scores.get(b) ?? 0) - (scores.get(a) ?? 0) || (a < b ? -1 : 1));
      this.#rankings.set(group, ranking);
    }
    return ranking;
  }
}

/** The version on which all nodes that followed the list agree; undefined if any of them listed several. */
function onlyVersion(replies: readonly FindReply[]): string | undefined {
  if (replies.some(({ isMixed }) => isMixed === true)) return undefined;
  const versions = new Set(replies.flatMap(({ only }) => only ?? []));
  return versions.size === 1 ? [...versions][0] : undefined;
}

/** Streams of one service and version go into one entry, which lives as long as the longest of them. */
function grouped(streams: readonly KnownStream[], nowMs: number): BegunStreams[] {
  const groups = new Map<string, BegunStreams>();
  for (const { service, version, untilMs, attemptId } of streams) {
    const leftMs = Math.round(untilMs - nowMs);
    if (leftMs <= 0) continue;
    const key = JSON.stringify([service, version]);
    const group = groups.get(key) ?? { service, version, leftMs, attemptIds: [] };
    group.attemptIds.push(attemptId);
    groups.set(key, { ...group, leftMs: Math.max(group.leftMs, leftMs) });
  }
  return [...groups.values()];
}
