import { pack, unpack } from 'msgpackr';
import * as z from 'zod';
import type { MemberIdentity, MemberState } from './member.js';

/**
 * Messages between nodes, as MessagePack arrays. Positions are listed at the schemas; everything that arrives is checked.
 * A node of another build may send what is not known here: more positions than listed are passed over, an update of an unknown code or
 * form by itself, and of a message of an unknown kind its updates count. So a build may add positions at the end, codes and kinds;
 * those of builds before this one drop the whole message for an update that they don't know.
 */
const text = z.string().max(256);
const stateCode = z.int().min(0).max(4);
const STATES: readonly MemberState[] = ['alive', 'suspect', 'draining', 'dead', 'left'];

/** [0, id, incarnation, state, age of the suspicion in ms] */
const memberStateUpdate = z
  .tuple([z.literal(0), text, z.int().min(0), stateCode, z.int().min(0)])
  .rest(z.unknown());
/** [1, id, incarnation, state, zone, region, gossip, peerUrl, callerUrl, processToken, capacity] */
const memberUpdate = z
  .tuple([
    z.literal(1),
    text,
    z.int().min(0),
    stateCode,
    text,
    text,
    text,
    text,
    text,
    text,
    z.number().min(0),
  ])
  .rest(z.unknown());
/** [2, owner, key, version, value] */
const recordUpdate = z.tuple([z.literal(2), text, text, z.number().min(0), z.unknown()]).rest(z.unknown());
/** [3, id, incarnation, state, highest version of its records] */
const versionUpdate = z
  .tuple([z.literal(3), text, z.int().min(0), stateCode, z.number().min(0)])
  .rest(z.unknown());
type EncodedNews =
  | z.infer<typeof memberStateUpdate>
  | z.infer<typeof memberUpdate>
  | z.infer<typeof recordUpdate>
  | z.infer<typeof versionUpdate>;
/** By the first position. To try one schema after the other took most of the time that a datagram costs. */
const UPDATE_SCHEMAS: readonly z.ZodType<EncodedNews>[] = [
  memberStateUpdate,
  memberUpdate,
  recordUpdate,
  versionUpdate,
];
const MOST_UPDATES = 2000;

/** [kind, sender, sender's revision, sequence, target, updates] */
const message = z
  .tuple([text, text, z.int().min(0), z.int().min(0), text, z.array(z.unknown()).max(MOST_UPDATES)])
  .rest(z.unknown());

/** News about a member without its addresses. */
export interface MemberStateUpdate {
  readonly kind: 'member-state';
  readonly id: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** How long ago the suspicion began, so that all nodes end it at about the same time. */
  readonly suspicionAgeMs: number;
}

/** News about a member with all that it tells of itself. */
export interface MemberUpdate {
  readonly kind: 'member';
  readonly identity: MemberIdentity;
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A value published by one node under a key; the highest version holds. */
export interface RecordUpdate {
  readonly kind: 'record';
  readonly owner: string;
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** What a node knows of another, without the content: for comparing. */
export interface VersionUpdate {
  readonly kind: 'version';
  readonly id: string;
  readonly incarnation: number;
  readonly state: MemberState;
  readonly recordVersion: number;
}

export type Update = MemberStateUpdate | MemberUpdate | RecordUpdate | VersionUpdate;

const MESSAGE_KINDS = [
  'ping',
  'ack',
  'ping-request',
  'gossip',
  'join',
  'digest',
  'versions',
  'state',
] as const;

export type MessageKind = (typeof MESSAGE_KINDS)[number];

const KIND_BY_NAME: ReadonlyMap<string, MessageKind> = new Map(MESSAGE_KINDS.map((kind) => [kind, kind]));

/** What one datagram said. */
export interface DecodedMessage {
  readonly message: GossipMessage;
  readonly updates: readonly Update[];
  /** What is not known here: updates of an unknown code or form, and 1 for an unknown kind of message. */
  readonly unread: number;
}

export interface GossipMessage {
  readonly kind: MessageKind;
  readonly sender: string;
  /** Configuration revision in force at the sender. */
  readonly revision: number;
  readonly sequence: number;
  /** Member to probe, for `ping-request`; digest text, for `digest`; otherwise empty. */
  readonly target: string;
  readonly updates: readonly EncodedUpdate[];
}

/** An update in the form in which it is sent. */
export type EncodedUpdate = readonly unknown[];

export function encodeUpdate(news: Update): EncodedUpdate {
  switch (news.kind) {
    case 'member-state':
      return [0, news.id, news.incarnation, STATES.indexOf(news.state), Math.round(news.suspicionAgeMs)];
    case 'member': {
      const { id, zone, region, gossip, peerUrl, callerUrl, processToken, capacity } = news.identity;
      const head = [1, id, news.incarnation, STATES.indexOf(news.state)];
      return [...head, zone, region, gossip, peerUrl, callerUrl, processToken, capacity];
    }
    case 'record':
      return [2, news.owner, news.key, news.version, news.value];
    case 'version':
      return [3, news.id, news.incarnation, STATES.indexOf(news.state), news.recordVersion];
  }
}

/** A version below all others: whoever knows the member answers with all that it knows of it. */
export function askFor(id: string): EncodedUpdate {
  return encodeUpdate({ kind: 'version', id, incarnation: 0, state: 'alive', recordVersion: 0 });
}

export function encodedSize(encoded: EncodedUpdate): number {
  return pack(encoded).length;
}

export function encodeMessage(content: GossipMessage): Uint8Array {
  return pack([
    content.kind,
    content.sender,
    content.revision,
    content.sequence,
    content.target,
    content.updates,
  ]);
}

/** The message and its updates, or undefined when the bytes are no message. Never throws. */
export function decodeMessage(bytes: Uint8Array): DecodedMessage | undefined {
  let value: unknown;
  try {
    value = unpack(bytes);
  } catch {
    return undefined;
  }
  const checked = message.safeParse(value);
  if (!checked.success) return undefined;
  const [told, sender, revision, sequence, target, encoded] = checked.data;
  const kind = KIND_BY_NAME.get(told);
  const updates: EncodedNews[] = [];
  for (const entry of encoded) {
    const news = checkUpdate(entry);
    if (news !== undefined) updates.push(news);
  }
  return {
    // A message of an unknown kind asks for nothing that could be done here.
    message: { kind: kind ?? 'gossip', sender, revision, sequence, target, updates },
    updates: updates.map(decodeUpdate),
    unread: encoded.length - updates.length + (kind === undefined ? 1 : 0),
  };
}

function checkUpdate(entry: unknown): EncodedNews | undefined {
  const code: unknown = Array.isArray(entry) ? entry[0] : undefined;
  const schema = typeof code === 'number' ? UPDATE_SCHEMAS[code] : undefined;
  return schema?.safeParse(entry).data;
}

function decodeUpdate(encoded: EncodedNews): Update {
  switch (encoded[0]) {
    case 0: {
      const [, id, incarnation, state, suspicionAgeMs] = encoded;
      return { kind: 'member-state', id, incarnation, state: STATES[state] ?? 'alive', suspicionAgeMs };
    }
    case 1: {
      const [, id, incarnation, state, ...told] = encoded;
      const [zone, region, gossip, peerUrl, callerUrl, processToken, capacity] = told;
      const identity = { id, zone, region, gossip, peerUrl, callerUrl, processToken, capacity };
      return { kind: 'member', identity, incarnation, state: STATES[state] ?? 'alive' };
    }
    case 2: {
      const [, owner, key, version, value] = encoded;
      return { kind: 'record', owner, key, version, value };
    }
    case 3: {
      const [, id, incarnation, state, recordVersion] = encoded;
      return { kind: 'version', id, incarnation, state: STATES[state] ?? 'alive', recordVersion };
    }
  }
}
