import { readFileSync } from 'node:fs';

const LIMITS_FILE = '/proc/self/limits';

/** Descriptors that this process may have open; undefined where the operating system does not tell, as outside of Linux. */
export function descriptorLimit(): number | undefined {
  try {
    return readSoftLimit(readFileSync(LIMITS_FILE, 'utf8'));
  } catch {
    return undefined;
  }
}

/** @param limits as Linux describes them, one a line; undefined if the limit of open files is not among them */
export function readSoftLimit(limits: string): number | undefined {
  const [, soft] = /^Max open files\s+(\d+|unlimited)\s/m.exec(limits) ?? [];
  return soft === undefined ? undefined : soft === 'unlimited' ? Infinity : Number(soft);
}
