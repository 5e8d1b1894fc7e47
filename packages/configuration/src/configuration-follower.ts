import { Backoff, Notifier, jittered, type Clock, type Random } from '@canvasridge/clock';
import type {
  ConfigurationIndex,
  ConfigurationSource,
  ConfigurationSourceError,
  SourceValue,
} from '@canvasridge/domain';
import { keepRunning, type Telemetry } from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { HEAD_KEY, chunkKey, headSchema, type RevisionHead } from './revision.js';
import { RevisionStore, revisionOfStamp } from './revision-store.js';

/** Reads configuration revisions from peers. */
export interface PeerConfigurationSource {
  head(peerId: string): Promise<{ readonly head: RevisionHead; readonly sourceVersion: number } | undefined>;
  chunk(peerId: string, sha256: string): Promise<string | undefined>;
}

export interface FollowerOptions {
  readonly source: ConfigurationSource;
  readonly peers: PeerConfigurationSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  /** Whether this node is one of the few nodes of its zone that watch the configuration service. */
  readonly isWatcher: () => boolean;
  /** Holds the revision in force; a new, empty store by default. */
  readonly store?: RevisionStore | undefined;
  /** Called each time a revision is put in force. */
  readonly onRevision: (index: ConfigurationIndex) => void;
}

/** How long the service holds a watch open before it answers without a change. */
const WATCH_TIMEOUT_MS = 25_000;
/** Mean interval at which non-watchers read the service directly, in case no watcher can reach it. */
const DIRECT_READ_PERIOD_MS = 300_000;
/** Mean interval at which a node checks whether it has become a watcher. */
const ROLE_CHECK_PERIOD_MS = 1000;
/** Backoff after a failed read of the service. */
const RETRY_BACKOFF = { initialMs: 500, maximumMs: 15_000 } as const;

type ChunkReader = (sha256: string) => Promise<string | undefined>;

/**
 * Keeps the configuration of a node up to date. A few nodes of each zone watch the configuration service; all
 * others learn of new revisions from peers. A lower revision than the one in force is ignored, whatever its
 * source.
 */
export class ConfigurationFollower {
  readonly store: RevisionStore;
  readonly #options: FollowerOptions;
  readonly #stop = new AbortController();
  readonly #changed = new Notifier();
  readonly #backoff: Backoff;
  #fetchingStamps = new Set<number>();
  #lastReportedRevision = 0;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.store = options.store ?? new RevisionStore();
    this.#backoff = new Backoff(RETRY_BACKOFF, options.random);
  }

  start(): void {
    keepRunning(this.#options, 'configuration-watch', () => this.#watchTask());
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Resolves when the next revision is put in force. */
  nextRevision(): Promise<void> {
    return this.#changed.wait();
  }

  /**
   * Handles the revision stamp announced by a peer: fetches the revision from that peer if it may be newer.
   */
  async handlePeerStamp(peerId: string, stamp: number): Promise<void> {
    const currentStamp = this.store.stamp;
    if (stamp === currentStamp || revisionOfStamp(stamp) < this.store.revision || stamp === 0) return;
    if (this.#fetchingStamps.has(stamp)) return;
    this.#fetchingStamps.add(stamp);
    try {
      await this.#fetchFromPeer(peerId);
    } finally {
      this.#fetchingStamps.delete(stamp);
    }
  }

  async #fetchFromPeer(peerId: string): Promise<void> {
    const { peers } = this.#options;
    const answer = await peers.head(peerId);
    if (answer === undefined) return;
    const { head, sourceVersion } = answer;
    await this.#adopt(head, sourceVersion, `peer ${peerId}`, (sha256) => peers.chunk(peerId, sha256));
  }

  async #watchTask(): Promise<void> {
    const { clock, random, isWatcher } = this.#options;
    // Random delay before the first read, so that nodes that start together do not all read at the same time.
    await clock.sleep(random.next() * ROLE_CHECK_PERIOD_MS, this.#stop.signal);
    let nextDirectReadMs = clock.now();
    while (!this.#stop.signal.aborted) {
      const readIsDue = this.store.revision === 0 || clock.now() >= nextDirectReadMs;
      if (isWatcher()) {
        await this.#watchOnce();
      } else if (readIsDue) {
        nextDirectReadMs = clock.now() + jittered(DIRECT_READ_PERIOD_MS, random);
        await this.#readOnce();
      } else {
        await clock.sleep(jittered(ROLE_CHECK_PERIOD_MS, random), this.#stop.signal);
      }
    }
  }

  async #watchOnce(): Promise<void> {
    this.#countRead();
    const answer = await this.#options.source.watch(HEAD_KEY, this.store.sourceVersion, WATCH_TIMEOUT_MS);
    await this.#processAnswer(answer);
  }

  async #readOnce(): Promise<void> {
    this.#countRead();
    await this.#processAnswer(await this.#options.source.get(HEAD_KEY));
  }

  async #processAnswer(answer: Result<SourceValue, ConfigurationSourceError>): Promise<void> {
    const result = await this.#handleAnswer(answer);
    if (result.isOk()) {
      this.#backoff.reset();
      return;
    }
    const delayMs = this.#backoff.nextDelayMs();
    this.#options.telemetry.event('debug', 'configuration.unread', HEAD_KEY, { reason: result.error });
    await this.#options.clock.sleep(delayMs, this.#stop.signal);
  }

  /**
   * Handles an answer of the service. Returns an error text if the next read must be delayed by the backoff.
   */
  async #handleAnswer(answer: Result<SourceValue, ConfigurationSourceError>): Promise<Result<void, string>> {
    if (answer.isErr()) return err(answer.error.kind);
    // The watch ended without a change.
    if (answer.value.version === this.store.sourceVersion) return ok();
    // An outdated replica answered: there is nothing new, and no need to read again immediately.
    if (answer.value.version < this.store.sourceVersion) return err('older than what is in force');
    const head = parseHead(answer.value.value);
    if (head === undefined) return err('the head document is malformed');
    const adopted = await this.#adopt(head, answer.value.version, 'service', (sha256) =>
      this.#readChunk(sha256),
    );
    return adopted ? ok() : err('not put in force');
  }

  async #readChunk(sha256: string): Promise<string | undefined> {
    this.#countRead();
    const answer = await this.#options.source.get(chunkKey(sha256));
    return answer.isOk() ? answer.value.value : undefined;
  }

  /** Fetches missing chunks and puts the revision in force. Returns whether it is in force afterwards. */
  async #adopt(head: RevisionHead, sourceVersion: number, from: string, read: ChunkReader): Promise<boolean> {
    const headCheck = this.store.checkHead(head, sourceVersion);
    if (headCheck.isErr()) return this.#reportRefusal(head, headCheck.error, from);
    const chunks = new Map<string, string>();
    for (const sha256 of head.chunks) {
      const text = this.store.chunk(sha256) ?? (await read(sha256));
      if (text === undefined) return false;
      chunks.set(sha256, text);
    }
    // The store checks the head again, because another revision may have come into force while chunks were
    // read.
    const accepted = this.store.accept(head, sourceVersion, chunks);
    if (accepted.isErr()) return this.#reportRefusal(head, accepted.error, from);
    const { telemetry, onRevision } = this.#options;
    telemetry.event('info', 'configuration.in-force', `revision-${head.revision}`, { from });
    telemetry.metrics.gauge('configuration.revision', head.revision);
    onRevision(accepted.value);
    this.#changed.notify();
    return true;
  }

  /** Logs an unexpected refusal, once for each revision. Returns whether the revision is in force anyway. */
  #reportRefusal(
    head: RevisionHead,
    refusal: { readonly kind: string; readonly detail?: string },
    from: string,
  ): boolean {
    const expected = refusal.kind === 'same' || refusal.kind === 'older';
    if (!expected && this.#lastReportedRevision !== head.revision) {
      this.#lastReportedRevision = head.revision;
      const fields = { from, reason: refusal.kind, detail: refusal.detail };
      this.#options.telemetry.event('warn', 'configuration.held', `revision-${head.revision}`, fields);
    }
    return refusal.kind === 'same';
  }

  #countRead(): void {
    this.#options.telemetry.metrics.count('configuration.reads');
  }
}

function parseHead(text: string): RevisionHead | undefined {
  try {
    const checked = headSchema.safeParse(JSON.parse(text));
    return checked.success ? checked.data : undefined;
  } catch {
    return undefined;
  }
}
