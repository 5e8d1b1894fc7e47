/**
 * Home of an idempotency key: the node process that remembers it, and the period in which the home was
 * given out. A key is accepted only while its period is remembered, so memory stays bounded without
 * forgetting a key that may come again.
 */
export interface HomeToken {
  readonly nodeId: string;
  readonly processToken: string;
  readonly epoch: number;
}

/** Length of a period, in milliseconds. */
export const HOME_EPOCH_MS = 600_000;

const HOME = /^([\w.-]{1,64})~([\w-]{1,64})~(\d{1,12})$/;

export function formatHome(home: HomeToken): string {
  return `${home.nodeId}~${home.processToken}~${home.epoch}`;
}

export function parseHome(text: string): HomeToken | undefined {
  const match = HOME.exec(text);
  if (match === null) return undefined;
  return { nodeId: match[1] ?? '', processToken: match[2] ?? '', epoch: Number(match[3]) };
}
