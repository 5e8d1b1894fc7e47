import { pack, unpack } from 'msgpackr';
import * as z from 'zod';
import type { MemberIdentity, MemberState } from './member.js';

/**
 * Messages between nodes are MessagePack arrays. The comment above each schema lists its array elements.
 * Every received message is validated.
 *
 * Nodes of other builds may send data that this build does not know. Additional elements at the end of an
 * array are ignored, an update with an unknown code or format is skipped on its own, and the updates of a
 * message of unknown kind are still applied. Later builds can therefore append elements and add update codes
 * and message kinds. Builds older than this rule drop a whole message if it contains an update that they do
 * not know.
 */
const text = z.string().max(256);
const MAX_INCARNATION = 2 ** 52;
/** Levels of a record's value. A value that can be read but not encoded again would spoil each message with it. */
const MAX_VALUE_DEPTH = 16;
const stateCode = z.int().min(0).max(4);
/** A node refutes what is said about it with the next incarnation, which must be one that others accept. */
const incarnation = z.int().min(0).max(MAX_INCARNATION);
/** Each state is sent as its index in this list. */
const STATES: readonly MemberState[] = ['alive', 'suspect', 'draining', 'dead', 'left'];

/** [0, id, incarnation, state, suspicionAgeMs] */
const memberStateUpdate = z
  .tuple([z.literal(0), text, incarnation, stateCode, z.int().min(0)])
  .rest(z.unknown());
/** [1, id, incarnation, state, zone, region, gossip, peerUrl, callerUrl, processToken, capacity] */
const memberUpdate = z
  .tuple([z.literal(1), text, incarnation, stateCode, text, text, text, text, text, text, z.number().min(0)])
  .rest(z.unknown());
/** [2, owner, key, version, value] */
const recordUpdate = z
  .tuple([z.literal(2), text, text, z.number().min(0), z.unknown().refine((value) => isShallow(value))])
  .rest(z.unknown());
/** [3, id, incarnation, state, recordVersion, recordDigest] */
const versionUpdate = z
  .tuple([z.literal(3), text, incarnation, stateCode, z.number().min(0)])
  .rest(z.unknown());
type ValidatedUpdate =
  | z.infer<typeof memberStateUpdate>
  | z.infer<typeof memberUpdate>
  | z.infer<typeof recordUpdate>
  | z.infer<typeof versionUpdate>;
/**
 * Schemas by update code, the first array element. Trying one schema after another took most of the time
 * spent on a datagram.
 */
const UPDATE_SCHEMAS: readonly z.ZodType<ValidatedUpdate>[] = [
  memberStateUpdate,
  memberUpdate,
  recordUpdate,
  versionUpdate,
];
/** Messages with more updates are dropped. */
const MAX_UPDATES = 2000;

/** [kind, sender, revision, sequence, target, updates] */
const message = z
  .tuple([text, text, z.int().min(0), z.int().min(0), text, z.array(z.unknown()).max(MAX_UPDATES)])
  .rest(z.unknown());

/** The state of a member without its addresses. */
export interface MemberStateUpdate {
  readonly kind: 'member-state';
  readonly id: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** How long ago the suspicion began, so that it expires on all nodes at about the same time. */
  readonly suspicionAgeMs: number;
}

/** The state of a member with its full identity. */
export interface MemberUpdate {
  readonly kind: 'member';
  readonly identity: MemberIdentity;
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A value published by one node under a key. The highest version takes precedence. */
export interface RecordUpdate {
  readonly kind: 'record';
  readonly owner: string;
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/**
 * The versions that a node knows of a member and its records, used to compare state without sending contents.
 */
export interface VersionUpdate {
  readonly kind: 'version';
  readonly id: string;
  readonly incarnation: number;
  readonly state: MemberState;
  readonly recordVersion: number;
  /** Equal if the other node has the same records of the member; absent from builds that send none. */
  readonly recordDigest?: number;
}

/** One decoded entry of a message. */
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

/** The content of one datagram. */
export interface DecodedMessage {
  readonly message: GossipMessage;
  readonly updates: readonly Update[];
  /** Number of updates with an unknown code or format, plus 1 if the message kind is unknown. */
  readonly unrecognisedCount: number;
}

export interface GossipMessage {
  readonly kind: MessageKind;
  readonly sender: string;
  /** Number that identifies the configuration in force at the sender. */
  readonly revision: number;
  /**
   * Number of a ping or ping request, which its `ack` repeats; in a `digest` that of all records, 0 from builds that
   * send none; 0 in all other messages.
   */
  readonly sequence: number;
  /** The address to probe for `ping-request`, the state digest for `digest`, otherwise empty. */
  readonly target: string;
  readonly updates: readonly EncodedUpdate[];
}

/** An update as the array that is sent. */
export type EncodedUpdate = readonly unknown[];

export function encodeUpdate(update: Update): EncodedUpdate {
  switch (update.kind) {
    case 'member-state':
      return [
        0,
        update.id,
        update.incarnation,
        STATES.indexOf(update.state),
        Math.round(update.suspicionAgeMs),
      ];
    case 'member': {
      const { id, zone, region, gossip, peerUrl, callerUrl, processToken, capacity } = update.identity;
      const head = [1, id, update.incarnation, STATES.indexOf(update.state)];
      return [...head, zone, region, gossip, peerUrl, callerUrl, processToken, capacity];
    }
    case 'record':
      return [2, update.owner, update.key, update.version, update.value];
    case 'version':
      return [
        3,
        update.id,
        update.incarnation,
        STATES.indexOf(update.state),
        update.recordVersion,
        ...(update.recordDigest === undefined ? [] : [update.recordDigest]),
      ];
  }
}

/**
 * Asks for everything that the receiver knows about a member: a version update lower than any real one, which
 * a receiver that knows the member answers with its full identity and all its records.
 */
export function encodeMemberQuery(id: string): EncodedUpdate {
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

function isShallow(value: unknown, levels: number = MAX_VALUE_DEPTH): boolean {
  if (typeof value !== 'object' || value === null) return true;
  return levels > 0 && Object.values(value).every((inner) => isShallow(inner, levels - 1));
}

/** Decodes a datagram; undefined if the bytes are not a valid message. Never throws. */
export function decodeMessage(bytes: Uint8Array): DecodedMessage | undefined {
  let value: unknown;
  try {
    value = unpack(bytes);
  } catch {
    return undefined;
  }
  const checked = message.safeParse(value);
  if (!checked.success) return undefined;
  const [kindName, sender, revision, sequence, target, encoded] = checked.data;
  const kind = KIND_BY_NAME.get(kindName);
  const updates: ValidatedUpdate[] = [];
  for (const entry of encoded) {
    const update = validateUpdate(entry);
    if (update !== undefined) updates.push(update);
  }
  return {
    // A message of unknown kind is handled as `gossip`: its updates are applied and nothing is answered.
    message: { kind: kind ?? 'gossip', sender, revision, sequence, target, updates },
    updates: updates.map(decodeUpdate),
    unrecognisedCount: encoded.length - updates.length + (kind === undefined ? 1 : 0),
  };
}

function validateUpdate(entry: unknown): ValidatedUpdate | undefined {
  const code: unknown = Array.isArray(entry) ? entry[0] : undefined;
  const schema = typeof code === 'number' ? UPDATE_SCHEMAS[code] : undefined;
  return schema?.safeParse(entry).data;
}

function decodeUpdate(encoded: ValidatedUpdate): Update {
  switch (encoded[0]) {
    case 0: {
      const [, id, incarnation, state, suspicionAgeMs] = encoded;
      return { kind: 'member-state', id, incarnation, state: STATES[state] ?? 'alive', suspicionAgeMs };
    }
    case 1: {
      const [, id, incarnation, state, ...identityFields] = encoded;
      const [zone, region, gossip, peerUrl, callerUrl, processToken, capacity] = identityFields;
      const identity = { id, zone, region, gossip, peerUrl, callerUrl, processToken, capacity };
      return { kind: 'member', identity, incarnation, state: STATES[state] ?? 'alive' };
    }
    case 2: {
      const [, owner, key, version, value] = encoded;
      return { kind: 'record', owner, key, version, value };
    }
    case 3: {
      const [, id, incarnation, state, recordVersion, recordDigest] = encoded;
      const version = { id, incarnation, state: STATES[state] ?? 'alive', recordVersion };
      return { kind: 'version', ...version, ...(typeof recordDigest === 'number' ? { recordDigest } : {}) };
    }
  }
}
