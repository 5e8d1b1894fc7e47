import type { Clock } from '@canvasridge/clock';
import type { Relays } from '../relay/relays.js';
import type { BackendPaths } from './backend-paths.js';

export interface OwnLossOptions {
  readonly clock: Clock;
  readonly paths: Pick<BackendPaths, 'isAnswered'>;
  readonly relays: Pick<Relays, 'isReachedByPeer'>;
}

/**
 * When a peer reaches a service, backends that have only been silent answer this node's probes within this time: a round
 * trip to another region.
 */
const OWN_ANSWER_MS = 200;

/**
 * Tells the loss of this node's own path to a service from a silence of all its backends: the path is this node's own
 * loss if a peer reaches the service now while this node's probes, sent no later than the question, stay unanswered.
 */
export class OwnLoss {
  readonly #options: OwnLossOptions;

  constructor(options: OwnLossOptions) {
    this.#options = options;
  }

  /** Resolves to whether an impaired path is seen to be this node's own loss. */
  async isSeen(service: string): Promise<boolean> {
    const { clock, paths, relays } = this.#options;
    const isAnswered = paths.isAnswered(service);
    if (!(await relays.isReachedByPeer(service))) return false;
    const isTooLate = clock.sleep(OWN_ANSWER_MS).then(() => false);
    return !(await Promise.race([isAnswered, isTooLate]));
  }
}
