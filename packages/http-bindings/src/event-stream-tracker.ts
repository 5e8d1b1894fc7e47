import { ChunkBuffer } from './chunk-buffer.js';

const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from('\nid: ');
const FIRST_ID_FIELD = Buffer.from('id: ');
const EVENT_END = Buffer.from('\n\n');
const EMPTY = Buffer.alloc(0);

/**
 * Tracks a stream of server-sent events chunk by chunk without parsing the events. Passes on complete events
 * only and records the id of the last one, so that a broken stream can be resumed without repeating any
 * bytes. Format: WHATWG HTML standard, section "Server-sent events", with LF as the only line ending.
 */
export class EventStreamTracker {
  readonly #partialEvent = new ChunkBuffer();
  /** Id of the last complete event that was passed on; -1 before the first. */
  lastEventId: number;
  /** Number of complete events that were passed on. */
  eventCount = 0;

  constructor(lastEventId = -1) {
    this.lastEventId = lastEventId;
  }

  /** Size of the incomplete event that is buffered, in bytes. */
  get partialEventBytes(): number {
    return this.#partialEvent.length;
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /** Adds a chunk and returns all complete events; the bytes after the last event end stay buffered. */
  push(chunk: Buffer): Buffer {
    const end = this.#endOfEvents(chunk);
    if (end === 0) {
      this.#partialEvent.push(chunk);
      return EMPTY;
    }
    const last = chunk.subarray(0, end);
    const events =
      this.#partialEvent.length === 0 ? last : Buffer.concat([...this.#partialEvent.take(), last]);
    this.#partialEvent.push(chunk.subarray(end));
    return this.#recordLastEventId(events);
  }

  /** Number of bytes of the chunk up to the end of its last complete event; 0 if no event ends in it. */
  #endOfEvents(chunk: Buffer): number {
    if (endsEvent(chunk)) return chunk.length;
    const end = chunk.lastIndexOf(EVENT_END);
    if (end !== -1) return end + EVENT_END.length;
    return this.#partialEvent.lastByte === LINE_FEED && chunk[0] === LINE_FEED ? 1 : 0;
  }

  #recordLastEventId(events: Buffer): Buffer {
    this.eventCount += countEvents(events);
    let at = events.lastIndexOf(ID_FIELD);
    if (at !== -1) at += ID_FIELD.length;
    else if (events.subarray(0, FIRST_ID_FIELD.length).equals(FIRST_ID_FIELD)) at = FIRST_ID_FIELD.length;
    if (at !== -1) this.lastEventId = readNumber(events, at);
    return events;
  }
}

function countEvents(events: Buffer): number {
  let count = 0;
  let at = events.indexOf(EVENT_END);
  while (at !== -1) {
    count += 1;
    at = events.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return count;
}

function endsEvent(chunk: Buffer): boolean {
  const { length } = chunk;
  return length >= 2 && chunk[length - 1] === LINE_FEED && chunk[length - 2] === LINE_FEED;
}

function readNumber(bytes: Buffer, start: number): number {
  let value = 0;
  for (let index = start; index < bytes.length; index += 1) {
    const digit = (bytes[index] ?? 0) - 0x30;
    if (digit < 0 || digit > 9) break;
    value = value * 10 + digit;
  }
  return value;
}
