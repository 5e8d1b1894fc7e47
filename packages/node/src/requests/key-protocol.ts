import {
  KEY_TRANSFERS,
  formatHome,
  parseHome,
  type HomeToken,
  type KeyClaim,
  type KeyOutcome,
  type KeyTransfer,
  type RequestKeys,
} from '@canvasridge/admission';
import type { Member, PeerCaller } from '@canvasridge/membership';
import * as z from 'zod';

/** Parameters and answers of the methods that peers call. */
export const transferKeyParams = z.strictObject({ home: z.string(), key: z.string(), process: z.string() });
export const keyOutcomeParams = z.strictObject({ home: z.string(), key: z.string() });

const transferAnswer = z.strictObject({ transfer: z.enum(KEY_TRANSFERS), process: z.string() });
const outcomeAnswer = z.strictObject({
  kind: z.enum(['answered', 'answer-dropped', 'not-executed', 'unknown']),
  status: z.number().default(0),
  headers: z.record(z.string(), z.string()).default({}),
  bodyBase64: z.string().default(''),
});
type OutcomeAnswer = z.infer<typeof outcomeAnswer>;

export interface KeyProtocolOptions {
  readonly self: () => Member;
  readonly member: (id: string) => Member | undefined;
  readonly caller: PeerCaller;
  /** Keys whose home is this process. */
  readonly keys: RequestKeys;
  /** Keys that other homes handed to this process. */
  readonly delegated: RequestKeys;
}

/** What a keyed request may do, after the home has been asked. */
export type KeyDecision =
  | { readonly kind: 'run'; settle(outcome: KeyOutcome, remember?: boolean): void }
  | OutcomeDecision
  | { readonly kind: 'full' };

interface OutcomeDecision {
  readonly kind: 'outcome';
  readonly outcome: KeyOutcome;
}

const CALL_TIMEOUT_MS = 2000;
const OUTCOME_TIMEOUT_MS = 60_000;
const UNKNOWN: OutcomeDecision = { kind: 'outcome', outcome: { kind: 'unknown' } };

/**
 * Decides who may run a request that is not repeatable. The home named by the caller remembers the key;
 * another node runs it only after the home has handed it the key. Where the home is gone, nobody can
 * tell, and nobody runs it.
 */
export class KeyProtocol {
  readonly #options: KeyProtocolOptions;

  constructor(options: KeyProtocolOptions) {
    this.#options = options;
  }

  /** A home for keys that `member` should remember. */
  homeAt(member: Member): string {
    const { id: nodeId, processToken } = member;
    return formatHome({ nodeId, processToken, epoch: this.#options.keys.epoch() });
  }

  /** Undefined when `home` is no home text. */
  async decide(home: string, key: string): Promise<KeyDecision | undefined> {
    const parsed = parseHome(home);
    if (parsed === undefined) return undefined;
    const self = this.#options.self();
    if (parsed.nodeId !== self.id) return this.#decideAway(parsed, home, key);
    if (parsed.processToken !== self.processToken) return UNKNOWN;
    return this.#fromClaim(this.#options.keys.claim(parsed.epoch, key), home, key);
  }

  async #decideAway(home: HomeToken, homeText: string, key: string): Promise<KeyDecision> {
    const claim = this.#options.delegated.claim(home.epoch, delegatedKey(homeText, key));
    if (claim.kind !== 'run') return this.#fromClaim(claim, homeText, key);
    const transfer = await this.#askForKey(home, key);
    if (transfer?.transfer === 'granted') return claim;
    // This process does not run it, and may ask again later; whoever waits here meanwhile gets the same answer.
    const decision = await this.#decideRefused(transfer, homeText, key);
    claim.settle(decision.kind === 'outcome' ? decision.outcome : { kind: 'not-executed' }, false);
    return decision;
  }

  async #decideRefused(
    transfer: { readonly transfer: KeyTransfer; readonly process: string } | undefined,
    homeText: string,
    key: string,
  ): Promise<OutcomeDecision | { readonly kind: 'full' }> {
    if (transfer === undefined || transfer.transfer === 'unknown') return UNKNOWN;
    if (transfer.transfer === 'full') return { kind: 'full' };
    return this.#outcomeFrom(transfer.process, homeText, key);
  }

  async #fromClaim(claim: KeyClaim, home: string, key: string): Promise<KeyDecision> {
    switch (claim.kind) {
      case 'run':
        return claim;
      case 'wait':
        return { kind: 'outcome', outcome: await claim.outcome };
      case 'elsewhere':
        return this.#outcomeFrom(claim.process, home, key);
      case 'full':
        return { kind: 'full' };
      case 'unknown':
        return UNKNOWN;
    }
  }

  async #askForKey(
    home: HomeToken,
    key: string,
  ): Promise<{ readonly transfer: KeyTransfer; readonly process: string } | undefined> {
    const { member, caller, self } = this.#options;
    const peer = member(home.nodeId);
    if (peer === undefined || peer.processToken !== home.processToken) return undefined;
    const params = { home: formatHome(home), key, process: processName(self()) };
    const answer = await caller.call(peer.peerUrl, 'keys.transfer', params, transferAnswer, CALL_TIMEOUT_MS);
    return answer.isOk() ? answer.value : undefined;
  }

  async #outcomeFrom(process: string, home: string, key: string): Promise<OutcomeDecision> {
    const [nodeId = '', processToken = ''] = process.split('~');
    const peer = this.#options.member(nodeId);
    if (peer === undefined || peer.processToken !== processToken) return UNKNOWN;
    const params = { home, key };
    const answer = await this.#options.caller.call(
      peer.peerUrl,
      'keys.outcome',
      params,
      outcomeAnswer,
      OUTCOME_TIMEOUT_MS,
    );
    return answer.isOk() ? { kind: 'outcome', outcome: fromWire(answer.value) } : UNKNOWN;
  }

  // --- calls of peers ----------------------------------------------------------------------------

  /**
   * The caller of this may believe in a process that this one has replaced at its address; only the very
   * process that the home names can hand its keys out.
   */
  handleTransfer(params: z.infer<typeof transferKeyParams>): z.infer<typeof transferAnswer> {
    const { keys, self } = this.#options;
    const home = parseHome(params.home);
    if (home === undefined || !isHere(home, self())) return { transfer: 'unknown', process: '' };
    const transfer = keys.transfer(home.epoch, params.key, params.process);
    const process = keys.delegateOf(home.epoch, params.key) ?? processName(self());
    return { transfer, process };
  }

  async handleOutcome(params: z.infer<typeof keyOutcomeParams>): Promise<OutcomeAnswer> {
    const home = parseHome(params.home);
    if (home === undefined) return toWire({ kind: 'unknown' });
    const { keys, delegated, self } = this.#options;
    const outcome = isHere(home, self())
      ? keys.outcomeOf(home.epoch, params.key)
      : delegated.outcomeOf(home.epoch, delegatedKey(params.home, params.key));
    return toWire((await outcome) ?? { kind: 'unknown' });
  }
}

function isHere(home: HomeToken, self: Member): boolean {
  return home.nodeId === self.id && home.processToken === self.processToken;
}

function processName(member: Member): string {
  return `${member.id}~${member.processToken}`;
}

function delegatedKey(home: string, key: string): string {
  return `${home}|${key}`;
}

function toWire(outcome: KeyOutcome): OutcomeAnswer {
  if (outcome.kind !== 'answered') return { kind: outcome.kind, status: 0, headers: {}, bodyBase64: '' };
  const { status, headers, body } = outcome.answer;
  return {
    kind: 'answered',
    status,
    headers: { ...headers },
    bodyBase64: Buffer.from(body).toString('base64'),
  };
}

function fromWire(answer: OutcomeAnswer): KeyOutcome {
  if (answer.kind !== 'answered') return { kind: answer.kind };
  const { status, headers, bodyBase64 } = answer;
  return { kind: 'answered', answer: { status, headers, body: Buffer.from(bodyBase64, 'base64') } };
}
