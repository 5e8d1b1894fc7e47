import { hashSeed } from '@canvasridge/clock';

const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = 256;

/** Tokens in a block, the unit in which prompt prefixes are cached. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
}

/** Hashes of the complete blocks of a prompt; the hash of a block covers all blocks before it as well. */
export function prefixBlocks(adapterKey: string, prompt: string): number[] {
  const blocks: number[] = [];
  let previous = hashSeed(adapterKey);
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    previous = hashSeed(`${previous}/${prompt.slice(end - BLOCK_CHARACTERS, end)}`);
    blocks.push(previous);
  }
  return blocks;
}

/** Text of token `index` of a completion, derived from the prompt hash so that readers can verify it. */
export function tokenText(promptHash: number, index: number): string {
  return ` ${promptHash.toString(36)}.${index}`;
}

export function promptHash(model: string, prompt: string): number {
  return hashSeed(`${model}|${prompt}`);
}
