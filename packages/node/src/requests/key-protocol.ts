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

/** Parameters and results of the methods that peers call on this node. */
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
  /** Idempotency keys whose home is this process. */
  readonly keys: RequestKeys;
  /** Idempotency keys that their home has transferred to this process. */
  readonly delegated: RequestKeys;
}

/**
 * What to do with a keyed request: run it and report the outcome with `settle`, answer with the outcome of an
 * earlier run, or refuse it because no more keys can be stored. `remember` says whether the outcome is stored
 * for later requests with the key; by default it is unless the request was not executed.
 */
export type KeyDecision =
  | { readonly kind: 'run'; settle(outcome: KeyOutcome, remember?: boolean): void }
  | OutcomeDecision
  | { readonly kind: 'full' };

interface OutcomeDecision {
  readonly kind: 'outcome';
  readonly outcome: KeyOutcome;
}

const CALL_TIMEOUT_MS = 2000;
/** Longer than CALL_TIMEOUT_MS, because the peer answers only when the request has ended. */
const OUTCOME_TIMEOUT_MS = 60_000;
const UNKNOWN: OutcomeDecision = { kind: 'outcome', outcome: { kind: 'unknown' } };

/**
 * Ensures that a request with an idempotency key runs at most once over all nodes. Each key has a home, a
 * node process named by the caller, which remembers the key. Another process may run the request only after
 * the home has transferred the key to it. If the home process no longer exists, whether the request has run
 * cannot be determined, so it is not run.
 */
export class KeyProtocol {
  readonly #options: KeyProtocolOptions;

  constructor(options: KeyProtocolOptions) {
    this.#options = options;
  }

  /** Home token for keys that are to be remembered by `member`. */
  newHome(member: Member): string {
    const { id: nodeId, processToken } = member;
    return formatHome({ nodeId, processToken, epoch: this.#options.keys.epoch() });
  }

  /** Decides on a request with `key`; undefined if `home` is not a valid home token. */
  async decide(home: string, key: string): Promise<KeyDecision | undefined> {
    const parsed = parseHome(home);
    if (parsed === undefined) return undefined;
    const self = this.#options.self();
    if (parsed.nodeId !== self.id) return this.#decideForRemoteHome(parsed, home, key);
    if (parsed.processToken !== self.processToken) return UNKNOWN;
    return this.#decideFromClaim(this.#options.keys.claim(parsed.epoch, key), home, key);
  }

  async #decideForRemoteHome(home: HomeToken, homeText: string, key: string): Promise<KeyDecision> {
    const claim = this.#options.delegated.claim(home.epoch, delegatedKey(homeText, key));
    if (claim.kind !== 'run') return this.#decideFromClaim(claim, homeText, key);
    const transfer = await this.#requestTransfer(home, key);
    if (transfer?.transfer === 'granted') return claim;
    // This process does not run the request now. Requests that wait here for the same key get the same
    // decision, but it is not remembered, so that a later request asks the home again.
    const decision = await this.#decideWithoutTransfer(transfer, homeText, key);
    claim.settle(decision.kind === 'outcome' ? decision.outcome : { kind: 'not-executed' }, false);
    return decision;
  }

  async #decideWithoutTransfer(
    transfer: { readonly transfer: KeyTransfer; readonly process: string } | undefined,
    homeText: string,
    key: string,
  ): Promise<OutcomeDecision | { readonly kind: 'full' }> {
    if (transfer === undefined || transfer.transfer === 'unknown') return UNKNOWN;
    if (transfer.transfer === 'full') return { kind: 'full' };
    return this.#fetchOutcome(transfer.process, homeText, key);
  }

  async #decideFromClaim(claim: KeyClaim, home: string, key: string): Promise<KeyDecision> {
    switch (claim.kind) {
      case 'run':
        return claim;
      case 'wait':
        return { kind: 'outcome', outcome: await claim.outcome };
      case 'elsewhere':
        return this.#fetchOutcome(claim.process, home, key);
      case 'full':
        return { kind: 'full' };
      case 'unknown':
        return UNKNOWN;
    }
  }

  async #requestTransfer(
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

  async #fetchOutcome(process: string, home: string, key: string): Promise<OutcomeDecision> {
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

  // --- calls from peers ---------------------------------------------------------------------------

  /**
   * Handles a peer's request to transfer a key to it. The peer may mean an earlier process at this address;
   * only the process named in the home token can transfer its keys.
   */
  handleTransfer(params: z.infer<typeof transferKeyParams>): z.infer<typeof transferAnswer> {
    const { keys, self } = this.#options;
    const home = parseHome(params.home);
    if (home === undefined || !isOwnHome(home, self())) return { transfer: 'unknown', process: '' };
    const transfer = keys.transfer(home.epoch, params.key, params.process);
    const process = keys.delegateOf(home.epoch, params.key) ?? processName(self());
    return { transfer, process };
  }

  /** Handles a peer's question for the outcome of a keyed request, waiting while the request runs. */
  async handleOutcome(params: z.infer<typeof keyOutcomeParams>): Promise<OutcomeAnswer> {
    const home = parseHome(params.home);
    if (home === undefined) return toWire({ kind: 'unknown' });
    const { keys, delegated, self } = this.#options;
    const outcome = isOwnHome(home, self())
      ? keys.outcomeOf(home.epoch, params.key)
      : delegated.outcomeOf(home.epoch, delegatedKey(params.home, params.key));
    return toWire((await outcome) ?? { kind: 'unknown' });
  }
}

/** Whether a home token names this process, not an earlier one of the same node. */
function isOwnHome(home: HomeToken, self: Member): boolean {
  return home.nodeId === self.id && home.processToken === self.processToken;
}

/** Identifies a node process: `NODE~PROCESS_TOKEN`. */
function processName(member: Member): string {
  return `${member.id}~${member.processToken}`;
}

/** Key under which a process stores an idempotency key that was transferred to it from another home. */
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
