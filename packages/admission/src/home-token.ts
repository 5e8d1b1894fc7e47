/**
 * Names the home of an idempotency key: the node process that stores the key's state, and the epoch in which
 * that process was assigned as home. A process drops whole epochs and rejects keys of dropped ones. So its
 * memory stays bounded, and a key that may still be sent again is never mistaken for a new one.
 */
export interface HomeToken {
  readonly nodeId: string;
  readonly processToken: string;
  readonly epoch: number;
}

/** Length of an epoch, in milliseconds. */
export const HOME_EPOCH_MS = 600_000;

const HOME_PATTERN = /^([\w.-]{1,64})~([\w-]{1,64})~(\d{1,12})$/;

export function formatHome(home: HomeToken): string {
  return `${home.nodeId}~${home.processToken}~${home.epoch}`;
}

export function parseHome(text: string): HomeToken | undefined {
  const match = HOME_PATTERN.exec(text);
  if (match === null) return undefined;
  return { nodeId: match[1] ?? '', processToken: match[2] ?? '', epoch: Number(match[3]) };
}
