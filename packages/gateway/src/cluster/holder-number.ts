import { hashSeed } from '@canvasridge/clock';

/**
 * A number for the machine with this address: two machines get the same one only by chance, whichever parts
 * of their addresses differ.
 */
export function holderNumber(ip: string): number {
  return hashSeed(ip);
}
