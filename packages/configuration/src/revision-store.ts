import { ConfigurationIndex, type Configuration } from '@canvasridge/domain';
import { err, ok, type Result } from 'neverthrow';
import { checkIntent } from './intent-check.js';
import { joinConfiguration, planDigest, type RevisionError, type RevisionHead } from './revision.js';

/** Why a published revision is not put in force. */
export type AcceptRefusal =
  | { readonly kind: 'older'; readonly inForce: number }
  | { readonly kind: 'same' }
  | { readonly kind: 'conflict-lost' }
  | { readonly kind: 'plan-mismatch'; readonly detail: string }
  | { readonly kind: 'intent-unmet'; readonly detail: string }
  | RevisionError;

export type AcceptOutcome = Result<ConfigurationIndex, AcceptRefusal>;

interface InForce {
  readonly head: RevisionHead;
  /** The configuration service's own version of the head; orders publications. */
  readonly sourceVersion: number;
  readonly chunks: ReadonlyMap<string, string>;
  readonly index: ConfigurationIndex;
}

const STAMP_STEPS = 2 ** 20;

/** Revision and the first bits of its digest in one number, so that peers notice two of the same number. */
export function revisionStamp(revision: number, digest: string): number {
  return revision * STAMP_STEPS + parseInt(digest.slice(0, 5), 16);
}

export function stampRevision(stamp: number): number {
  return Math.floor(stamp / STAMP_STEPS);
}

/**
 * The revision in force on a node. Accepts only what follows from it: a higher revision whose plan was
 * confirmed against the one in force. Of operators who raced, the one who published first holds: the
 * other's head has a service version that it does not name, which every node sees without the first.
 */
export class RevisionStore {
  #inForce: InForce | undefined;
  #held: { readonly revision: number; readonly reason: string } | undefined;

  get head(): RevisionHead | undefined {
    return this.#inForce?.head;
  }

  get index(): ConfigurationIndex | undefined {
    return this.#inForce?.index;
  }

  get sourceVersion(): number {
    return this.#inForce?.sourceVersion ?? 0;
  }

  /** Revision in force, 0 before the first. */
  get revision(): number {
    return this.#inForce?.head.revision ?? 0;
  }

  /** Stamp for peers, 0 before the first revision. */
  get stamp(): number {
    const head = this.#inForce?.head;
    return head === undefined ? 0 : revisionStamp(head.revision, head.digest);
  }

  /** A published revision that this node refuses, for the operators' status. */
  get held(): { readonly revision: number; readonly reason: string } | undefined {
    return this.#held;
  }

  chunk(sha256: string): string | undefined {
    return this.#inForce?.chunks.get(sha256);
  }

  /** Whether the head could be put in force; asked before its chunks are fetched. */
  examine(head: RevisionHead, sourceVersion: number): Result<void, AcceptRefusal> {
    const current = this.#inForce;
    const expected = planDigest(head.previousRevision, head.previousDigest, head.digest);
    if (head.planDigest !== expected) {
      return this.#hold(head, 'the confirmed digest is not that of the plan for this document');
    }
    if (head.serviceVersion !== sourceVersion) {
      return this.#hold(head, `another revision was published before it, as version ${head.serviceVersion}`);
    }
    if (current === undefined) return ok();
    if (head.revision < current.head.revision) return err({ kind: 'older', inForce: current.head.revision });
    if (head.revision === current.head.revision) return examineSameNumber(head, sourceVersion, current);
    const follows =
      head.previousRevision !== current.head.revision || head.previousDigest === current.head.digest;
    if (follows && head.previousRevision >= current.head.revision) return ok();
    return this.#hold(
      head,
      `it was planned against revision ${head.previousRevision}, not against the one in force`,
    );
  }

  /** Puts a revision in force, or says why not. `chunks` holds the texts of all its chunks. */
  accept(head: RevisionHead, sourceVersion: number, chunks: ReadonlyMap<string, string>): AcceptOutcome {
    const examined = this.examine(head, sourceVersion);
    if (examined.isErr()) return err(examined.error);
    const joined = joinConfiguration(head, (sha256) => chunks.get(sha256));
    if (joined.isErr()) return err(joined.error);
    const unmet = checkIntent(joined.value);
    const [first] = unmet;
    if (first !== undefined) {
      const detail = `${first.path}: ${first.problem}`;
      this.#held = { revision: head.revision, reason: detail };
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
    const kept = new Map(head.chunks.map((sha256) => [sha256, chunks.get(sha256) ?? '']));
    const index = new ConfigurationIndex(head.revision, configuration);
    this.#inForce = { head, sourceVersion, chunks: kept, index };
    this.#held = undefined;
    return index;
  }

  #hold(head: RevisionHead, reason: string): Result<void, AcceptRefusal> {
    this.#held = { revision: head.revision, reason };
    return err({ kind: 'plan-mismatch', detail: reason });
  }
}

function examineSameNumber(
  head: RevisionHead,
  sourceVersion: number,
  current: InForce,
): Result<void, AcceptRefusal> {
  if (head.digest === current.head.digest) return err({ kind: 'same' });
  return sourceVersion < current.sourceVersion ? ok() : err({ kind: 'conflict-lost' });
}
