import { Backoff, Notifier, jittered, type Clock, type Random } from '@canvasridge/clock';
import type {
  ConfigurationIndex,
  ConfigurationSource,
  ConfigurationSourceError,
  SourceValue,
} from '@canvasridge/domain';
import type { Telemetry } from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { HEAD_KEY, chunkKey, headSchema, type RevisionHead } from './revision.js';
import { RevisionStore, stampRevision } from './revision-store.js';

/** Reads revisions from a peer. */
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
  /** Whether this node is one of the few of its zone that hold a watch on the service. */
  readonly isWatcher: () => boolean;
  /** Where the revision in force is kept; a fresh one by default. */
  readonly store?: RevisionStore | undefined;
  /** Called after each revision put in force. */
  readonly onRevision: (index: ConfigurationIndex) => void;
}

const WATCH_MS = 25_000;
/** Nodes that do not watch read the service directly this seldom, in case no watcher reaches it. */
const DIRECT_READ_PERIOD_MS = 300_000;
const ROLE_CHECK_MS = 1000;
const RETRY = { initialMs: 500, maximumMs: 15_000 } as const;

type ChunkReader = (sha256: string) => Promise<string | undefined>;

/**
 * Keeps a node's configuration up to date: few nodes of each zone watch the service, all others hear of
 * revisions from peers. A lower revision is ignored wherever it comes from.
 */
export class ConfigurationFollower {
  readonly store: RevisionStore;
  readonly #options: FollowerOptions;
  readonly #stop = new AbortController();
  readonly #changed = new Notifier();
  readonly #backoff: Backoff;
  #peerFetches = new Set<number>();
  #reportedHold = 0;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.store = options.store ?? new RevisionStore();
    this.#backoff = new Backoff(RETRY, options.random);
  }

  start(): void {
    void this.#watchTask();
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Resolves at the next revision put in force. */
  nextRevision(): Promise<void> {
    return this.#changed.wait();
  }

  /** Peer `peerId` shows a revision stamp; fetches from it when that may be newer. */
  async heardOf(peerId: string, stamp: number): Promise<void> {
    const mine = this.store.stamp;
    if (stamp === mine || stampRevision(stamp) < this.store.revision || stamp === 0) return;
    if (this.#peerFetches.has(stamp)) return;
    this.#peerFetches.add(stamp);
    const answer = await this.#options.peers.head(peerId);
    if (answer !== undefined) {
      await this.#adopt(answer.head, answer.sourceVersion, `peer ${peerId}`, (sha256) =>
        this.#options.peers.chunk(peerId, sha256),
      );
    }
    this.#peerFetches.delete(stamp);
  }

  async #watchTask(): Promise<void> {
    const { clock, random, isWatcher } = this.#options;
    // The first read waits a moment: nodes that start together should not all read at once.
    await clock.sleep(random.next() * ROLE_CHECK_MS, this.#stop.signal);
    let nextDirectReadMs = clock.now();
    while (!this.#stop.signal.aborted) {
      const due = this.store.revision === 0 || clock.now() >= nextDirectReadMs;
      if (isWatcher()) {
        await this.#watchOnce();
      } else if (due) {
        nextDirectReadMs = clock.now() + jittered(DIRECT_READ_PERIOD_MS, random);
        await this.#readOnce();
      } else {
        await clock.sleep(jittered(ROLE_CHECK_MS, random), this.#stop.signal);
      }
    }
  }

  async #watchOnce(): Promise<void> {
    this.#countRead();
    const answer = await this.#options.source.watch(HEAD_KEY, this.store.sourceVersion, WATCH_MS);
    await this.#takeAnswer(answer);
  }

  async #readOnce(): Promise<void> {
    this.#countRead();
    await this.#takeAnswer(await this.#options.source.get(HEAD_KEY));
  }

  async #takeAnswer(answer: Result<SourceValue, ConfigurationSourceError>): Promise<void> {
    const handled = await this.#handleAnswer(answer);
    if (handled.isOk()) {
      this.#backoff.reset();
      return;
    }
    const delayMs = this.#backoff.nextDelayMs();
    this.#options.telemetry.event('debug', 'configuration.unread', HEAD_KEY, { reason: handled.error });
    await this.#options.clock.sleep(delayMs, this.#stop.signal);
  }

  /** An error text when the next read must wait. */
  async #handleAnswer(answer: Result<SourceValue, ConfigurationSourceError>): Promise<Result<void, string>> {
    if (answer.isErr()) return err(answer.error.kind);
    // An old replica, or a watch that ended without news: nothing new, and no reason to ask again at once.
    if (answer.value.version === this.store.sourceVersion) return ok();
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

  /** Fetches missing chunks and puts the revision in force; returns whether it is. */
  async #adopt(head: RevisionHead, sourceVersion: number, from: string, read: ChunkReader): Promise<boolean> {
    const examined = this.store.examine(head, sourceVersion);
    if (examined.isErr()) return this.#report(head, examined.error, from);
    const chunks = new Map<string, string>();
    for (const sha256 of head.chunks) {
      const text = this.store.chunk(sha256) ?? (await read(sha256));
      if (text === undefined) return false;
      chunks.set(sha256, text);
    }
    // The store examines again: another revision may have come into force while chunks were read.
    const accepted = this.store.accept(head, sourceVersion, chunks);
    if (accepted.isErr()) return this.#report(head, accepted.error, from);
    const { telemetry, onRevision } = this.#options;
    telemetry.event('info', 'configuration.in-force', `revision-${head.revision}`, { from });
    telemetry.metrics.gauge('configuration.revision', head.revision);
    onRevision(accepted.value);
    this.#changed.notify();
    return true;
  }

  #report(
    head: RevisionHead,
    refusal: { readonly kind: string; readonly detail?: string },
    from: string,
  ): boolean {
    const expected = refusal.kind === 'same' || refusal.kind === 'older';
    if (!expected && this.#reportedHold !== head.revision) {
      this.#reportedHold = head.revision;
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
