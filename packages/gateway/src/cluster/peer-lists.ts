import { routingContent, type BackendDescription, type FleetState, type Revised } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type * as z from 'zod';
import { UnreadLog, firstProblem } from '../peers/unread-log.js';
import { revisedBackend, unreadRouting } from './published-protocol.js';

/** Peers whose lists are remembered: the largest fleet. */
const MAX_PEERS = 512;
/** Entries that are remembered of a peer; a longer list of unread ones is sent again with each answer. */
const MAX_UNREAD = 1024;

/** By id: the routing content of entries that are not valid here. */
type UnreadContents = ReadonlyMap<string, string>;

/**
 * Reads the lists of backends that peers send. An entry that is not valid here is left out of the list and logged.
 * A peer that holds it has another routing digest than this node and would send its list again with each answer, so
 * this node asks each peer with the digest of the list as that peer holds it.
 */
export class PeerLists {
  readonly #log: UnreadLog;
  /** By address of a peer: what its last list contained and this node left out. */
  readonly #unreadByPeer = new Map<string, UnreadContents>();
  /** Those of the last list of any peer: most likely those of a peer that has sent none yet. */
  #lastUnread: UnreadContents = new Map();

  constructor(telemetry: Telemetry) {
    this.#log = new UnreadLog(telemetry);
  }

  /** The routing digest of a peer that holds the same list as this node, apart from what is not valid here. */
  expectedDigest(fleet: FleetState, address: string): number {
    return fleet.routingDigestWith(this.#unreadByPeer.get(address) ?? this.#lastUnread);
  }

  /** Undefined without an answer, and for one that is not valid, which is logged. */
  readAnswer<T>(schema: z.ZodType<T>, address: string, answer: unknown): T | undefined {
    return answer === undefined ? undefined : this.#log.read(schema, 'peer.answer-unread', address, answer);
  }

  /** The valid entries of a peer's list. */
  read(address: string, entries: readonly unknown[]): Revised<BackendDescription>[] {
    const unread = new Map<string, string>();
    const valid: Revised<BackendDescription>[] = [];
    for (const entry of entries) {
      const { error } = revisedBackend.safeParse(entry);
      // Kept as it was sent: fields of later builds are passed on to nodes that may know them.
      if (error === undefined) valid.push(entry as Revised<BackendDescription>);
      else this.#leaveOut(entry, error, unread);
    }
    this.#remember(address, unread);
    return valid;
  }

  /** Peers of one build leave the same contents unread, which are kept once. */
  #remember(address: string, unread: UnreadContents): void {
    const known = [this.#lastUnread, ...this.#unreadByPeer.values()];
    this.#lastUnread = known.find((contents) => isSame(contents, unread)) ?? unread;
    this.#unreadByPeer.delete(address);
    this.#unreadByPeer.set(address, this.#lastUnread);
    const [oldest] = this.#unreadByPeer.keys();
    if (this.#unreadByPeer.size > MAX_PEERS && oldest !== undefined) this.#unreadByPeer.delete(oldest);
  }

  #leaveOut(entry: unknown, error: z.ZodError, unread: Map<string, string>): void {
    const { data } = unreadRouting.safeParse(entry);
    const revision = (entry as { readonly revision?: unknown } | null)?.revision;
    this.#log.warn('peer.entry-unread', data?.value.id ?? 'unnamed', {
      revision: typeof revision === 'number' ? revision : 'none',
      ...firstProblem(error),
    });
    if (data !== undefined && unread.size < MAX_UNREAD) unread.set(data.value.id, routingContent(data.value));
  }
}

function isSame(a: UnreadContents, b: UnreadContents): boolean {
  return a.size === b.size && [...a].every(([id, content]) => b.get(id) === content);
}
