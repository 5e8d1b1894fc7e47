import { readFileSync } from 'node:fs';

/** Descriptors that this process may have open; undefined where the operating system does not tell, as outside of Linux. */
export function descriptorLimit(): number | undefined {
  let limits: string;
  try {
    limits = readFileSync('/proc/self/limits', 'utf8');
  } catch {
    return undefined;
  }
  const limit = Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1]);
  return Number.isInteger(limit) ? limit : undefined;
}
