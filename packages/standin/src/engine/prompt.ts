import { hashSeed } from '@canvasridge/clock';

const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = 256;

/** Tokens of a cache block: the unit in which prefixes are cached. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
}

/** Hash of each leading block of a prompt; block n depends on all before it. */
export function prefixBlocks(adapterKey: string, prompt: string): number[] {
  const blocks: number[] = [];
  let previous = hashSeed(adapterKey);
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    previous = hashSeed(`${previous}/${prompt.slice(end - BLOCK_CHARACTERS, end)}`);
    blocks.push(previous);
  }
  return blocks;
}

/** Text of token `index` in the answer to `prompt`: a function of both, so that readers can check it. */
export function answerToken(promptHash: number, index: number): string {
  return ` ${promptHash.toString(36)}.${index}`;
}

export function promptHash(model: string, prompt: string): number {
  return hashSeed(`${model}|${prompt}`);
}
