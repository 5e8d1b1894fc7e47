/** An IPv4 address as a number, different for every machine. */
export function holderNumber(ip: string): number {
  return ip.split('.').reduce((number, part) => number * 256 + Number(part), 0) % 2 ** 22;
}
