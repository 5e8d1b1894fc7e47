import { ConfigurationIndex, type Configuration } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';
import { checkIntent } from './intent-check.js';
import { joinConfiguration, planDigest, type RevisionError, type RevisionHead } from './revision.js';

/** Why a published revision was not put in force. */
export type AcceptRefusal =
  | { readonly kind: 'older'; readonly inForce: number }
  | { readonly kind: 'same' }
  | { readonly kind: 'conflict-lost' }
  | { readonly kind: 'plan-mismatch'; readonly detail: string }
  | { readonly kind: 'intent-unmet'; readonly detail: string }
  | RevisionError;

export type AcceptOutcome = Result<ConfigurationIndex, AcceptRefusal>;

/** The revision in force with its source and contents. */
interface InForce {
  readonly head: RevisionHead;
  /** Version that the configuration service assigned to the head. Orders publications. */
  readonly sourceVersion: number;
  readonly chunks: ReadonlyMap<string, string>;
  readonly index: ConfigurationIndex;
}

/** A stamp has 20 bits (5 hexadecimal digits) of the digest below the revision. */
const STAMP_DIGEST_RANGE = 2 ** 20;

/**
 * Combines a revision number and the first bits of its digest, so that peers notice two different revisions
 * with the same number.
 */
export function revisionStamp(revision: number, digest: string): number {
  return revision * STAMP_DIGEST_RANGE + parseInt(digest.slice(0, 5), 16);
}

/** The revision number in a stamp. */
export function revisionOfStamp(stamp: number): number {
  return Math.floor(stamp / STAMP_DIGEST_RANGE);
}

/**
 * Holds the revision in force on a node. Accepts only a higher revision whose plan was confirmed against the
 * one in force, or against a later one. If two operators publish concurrently, the first publication wins:
 * the head of the second names another service version than the one it was given, which every node can detect
 * without knowing the first.
 */
export class RevisionStore {
  #inForce: InForce | undefined;
  #refused: { readonly revision: number; readonly reason: string } | undefined;

  get head(): RevisionHead | undefined {
    return this.#inForce?.head;
  }

  get index(): ConfigurationIndex | undefined {
    return this.#inForce?.index;
  }

  /** Version that the configuration service assigned to the head in force; 0 before the first. */
  get sourceVersion(): number {
    return this.#inForce?.sourceVersion ?? 0;
  }

  /** Number of the revision in force; 0 before the first. */
  get revision(): number {
    return this.#inForce?.head.revision ?? 0;
  }

  /** Stamp announced to peers; 0 before the first revision. */
  get stamp(): number {
    const head = this.#inForce?.head;
    return head === undefined ? 0 : revisionStamp(head.revision, head.digest);
  }

  /** The published revision that this node refuses, if any. Shown to operators in the status. */
  get held(): { readonly revision: number; readonly reason: string } | undefined {
    return this.#refused;
  }

  /** Text of a chunk of the revision in force. */
  chunk(sha256: string): string | undefined {
    return this.#inForce?.chunks.get(sha256);
  }

  /** Checks whether the revision of a head could be put in force. Called before its chunks are fetched. */
  checkHead(head: RevisionHead, sourceVersion: number): Result<void, AcceptRefusal> {
    const current = this.#inForce;
    const expected = planDigest(head.previousRevision, head.previousDigest, head.digest);
    if (head.planDigest !== expected) {
      return this.#refuse(head, 'the confirmed digest is not that of the plan for this document');
    }
    if (head.serviceVersion !== sourceVersion) {
      return this.#refuse(
        head,
        `another revision was published before it, as version ${head.serviceVersion}`,
      );
    }
    if (current === undefined) return ok();
    if (head.revision < current.head.revision) return err({ kind: 'older', inForce: current.head.revision });
    if (head.revision === current.head.revision) return checkSameRevision(head, sourceVersion, current);
    const hasMatchingDigest =
      head.previousRevision !== current.head.revision || head.previousDigest === current.head.digest;
    if (hasMatchingDigest && head.previousRevision >= current.head.revision) return ok();
    return this.#refuse(
      head,
      `it was planned against revision ${head.previousRevision}, not against the one in force`,
    );
  }

  /**
   * Puts a revision in force, or returns why it is refused.
   * @param chunks texts of all chunks of the revision by SHA-256
   */
  accept(head: RevisionHead, sourceVersion: number, chunks: ReadonlyMap<string, string>): AcceptOutcome {
    const checked = this.checkHead(head, sourceVersion);
    if (checked.isErr()) return err(checked.error);
    const joined = joinConfiguration(head, (sha256) => chunks.get(sha256));
    if (joined.isErr()) return err(joined.error);
    const problems = checkIntent(joined.value);
    const [first] = problems;
    if (first !== undefined) {
      const detail = `${first.path}: ${first.problem}`;
      this.#refused = { revision: head.revision, reason: detail };
      return err({ kind: 'intent-unmet', detail });
    }
    return ok(this.#putInForce(head, sourceVersion, chunks, joined.value));
  }

  #putInForce(
    head: RevisionHead,
    sourceVersion: number,
    chunks: ReadonlyMap<string, string>,
    configuration: Configuration,
  ): ConfigurationIndex {
    const ownChunks = new Map(head.chunks.map((sha256) => [sha256, chunks.get(sha256) ?? '']));
    const index = new ConfigurationIndex(head.revision, configuration);
    this.#inForce = { head, sourceVersion, chunks: ownChunks, index };
    this.#refused = undefined;
    return index;
  }

  #refuse(head: RevisionHead, reason: string): Result<void, AcceptRefusal> {
    this.#refused = { revision: head.revision, reason };
    return err({ kind: 'plan-mismatch', detail: reason });
  }
}

/** Of two different revisions with the same number, the one published first wins. */
function checkSameRevision(
  head: RevisionHead,
  sourceVersion: number,
  current: InForce,
): Result<void, AcceptRefusal> {
  if (head.digest === current.head.digest) return err({ kind: 'same' });
  return sourceVersion < current.sourceVersion ? ok() : err({ kind: 'conflict-lost' });
}
