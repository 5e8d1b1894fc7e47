import { err, ok, type Result } from 'neverthrow';

/** A version of an adapter, together with its base model. */
export interface AdapterRef {
  readonly base: string;
  readonly adapter: string;
  readonly version: string;
}

/** Error for text that is not a valid model name. */
export interface ModelNameError {
  readonly kind: 'malformed-model-name';
  readonly found: string;
  readonly expected: string;
}

const MODEL_NAME = /^([\w.-]{1,64}):([\w./-]{1,128})(?:@([\w.-]{1,64}))?$/;
const EXPECTED = '"base:adapter@version" or "base:adapter", of letters, digits, ".", "_", "-"';

/**
 * Parses `base:adapter@version`. If the version is omitted, `version` is empty and means the newest one
 * served.
 */
export function parseModelName(text: string): Result<AdapterRef, ModelNameError> {
  const match = MODEL_NAME.exec(text);
  if (match === null)
    return err({ kind: 'malformed-model-name', found: text.slice(0, 100), expected: EXPECTED });
  return ok({ base: match[1] ?? '', adapter: match[2] ?? '', version: match[3] ?? '' });
}

export function formatModelName(ref: AdapterRef): string {
  return `${ref.base}:${ref.adapter}@${ref.version}`;
}

/** Key of an adapter version, unique among the adapters of one base model: `ADAPTER@VERSION`. */
export function adapterVersionKey(ref: Pick<AdapterRef, 'adapter' | 'version'>): string {
  return `${ref.adapter}@${ref.version}`;
}
