import createHasher from 'xxhash-wasm';

const hasher = await createHasher();

/** xxHash32 of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** Weight of placing `key` on `candidate` (highest random weight, Thaler and Ravishankar, 1998). */
export function rendezvousScore(key: string, candidate: string): number {
  return hasher.h32(`${key}\u0000${candidate}`);
}

const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/** Score from two hashes, by the finalizer of MurmurHash3: as even as hashing both texts, at a fraction of its cost. */
export function mixScores(keyHash: number, candidateHash: number): number {
  let mixed = keyHash ^ Math.imul(candidateHash, MIX_1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_1);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_2);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Candidates by falling score; ties go to the smaller name, so that all nodes agree. */
export function rankByRendezvous<T>(key: string, candidates: readonly T[], nameOf: (item: T) => string): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      name: nameOf(candidate),
      score: rendezvousScore(key, nameOf(candidate)),
    }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map((entry) => entry.candidate);
}

/** The candidate with the highest score, without sorting. */
export function highestRendezvous<T>(
  key: string,
  candidates: readonly T[],
  nameOf: (item: T) => string,
): T | undefined {
  let best: T | undefined;
  let bestScore = -1;
  let bestName = '';
  for (const candidate of candidates) {
    const name = nameOf(candidate);
    const score = rendezvousScore(key, name);
    if (score < bestScore || (score === bestScore && name > bestName)) continue;
    best = candidate;
    bestScore = score;
    bestName = name;
  }
  return best;
}
