const LINE_FEED = 0x0a;
const ID_FIELD = Buffer.from('\nid: ');
const FIRST_ID_FIELD = Buffer.from('id: ');
const EVENT_END = Buffer.from('\n\n');
const EMPTY = Buffer.alloc(0);

/**
 * Follows a server-sent event stream chunk by chunk, without parsing events: passes on whole events only
 * and remembers the id of the last, so that a broken stream can be continued without a doubled part.
 * Format: WHATWG HTML, "Server-sent events", with line feeds as line ends.
 */
export class EventStreamTracker {
  #rest: Buffer = EMPTY;
  /** Id of the last whole event passed on, -1 before the first. */
  lastEventId: number;

  constructor(lastEventId = -1) {
    this.lastEventId = lastEventId;
  }

  /** Whether the beginning of an event is held back. */
  get hasPartialEvent(): boolean {
    return this.#rest.length > 0;
  }

  /** The bytes that complete events; what follows the last event end is kept back. */
  push(chunk: Buffer): Buffer {
    if (this.#rest.length === 0 && endsEvent(chunk)) return this.#passed(chunk);
    const joined = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = joined.lastIndexOf(EVENT_END);
    if (end === -1) {
      this.#rest = joined;
      return EMPTY;
    }
    const whole = joined.subarray(0, end + EVENT_END.length);
    this.#rest = joined.subarray(whole.length);
    return this.#passed(whole);
  }

  #passed(events: Buffer): Buffer {
    let at = events.lastIndexOf(ID_FIELD);
    if (at !== -1) at += ID_FIELD.length;
    else if (events.subarray(0, FIRST_ID_FIELD.length).equals(FIRST_ID_FIELD)) at = FIRST_ID_FIELD.length;
    if (at !== -1) this.lastEventId = readNumber(events, at);
    return events;
  }
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
