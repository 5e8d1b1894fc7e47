import type { LogFields } from './event-logger.js';

/** Stack frames in a log line. */
const FRAMES = 4;
/** Longest error message in a log line, in characters. */
const MAX_MESSAGE_LENGTH = 300;

/**
 * The fields by which log lines name an error: `error` (class and message), `code` (of Node.js, if it has one) and
 * `at` (the innermost stack frames, innermost first; of Node.js itself only the innermost one).
 */
export function errorFields(cause: unknown): LogFields {
  if (!(cause instanceof Error)) return { error: clip(String(cause)) };
  const { code } = cause as NodeJS.ErrnoException;
  return {
    error: clip(`${cause.name}: ${cause.message}`),
    code: typeof code === 'string' ? code : undefined,
    at: stackFrames(cause.stack),
  };
}

function stackFrames(stack: string | undefined): string | undefined {
  const frames = (stack ?? '').split('\n').flatMap((line) => /^\s+at (.+)$/.exec(line)?.[1] ?? []);
  if (frames.length === 0) return undefined;
  const named = frames.filter((frame, index) => index === 0 || !NODE_FRAME.test(frame));
  return named.slice(0, FRAMES).map(withoutFolders).join(' < ');
}

/** A frame of a module of Node.js, such as `connect (node:net:1:2)`. */
const NODE_FRAME = /(^|\()node:/;

/** `open (file:///app/packages/x/dist/y.js:1:2)` becomes `open (y.js:1:2)`. */
function withoutFolders(frame: string): string {
  return frame.replace(/[^\s(]*[\\/]/g, '');
}

function clip(text: string): string {
  return text.length <= MAX_MESSAGE_LENGTH ? text : `${text.slice(0, MAX_MESSAGE_LENGTH)}...`;
}
