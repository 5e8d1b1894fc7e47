import { pendingInputHandled, type Clock } from '@canvasridge/clock';
import type { BackendDescription, BackendService } from '@canvasridge/serving';
import type { PickResult, PickedBackend } from '../backends/picker.js';
import type { BackendPaths } from '../paths/backend-paths.js';
import type { BackendResponsiveness } from '../paths/backend-responsiveness.js';
import type { FleetPaths } from '../paths/fleet-paths.js';
import type { BackendHop } from './backend-hop.js';
import type { BackendHops } from './backend-hops.js';
import type { TakeoverCharge } from './request-admission.js';
import { spreadRetryMs } from './retry-spread.js';

/** What takes over from an attempt whose backend is silent: a backend that holds a slot for it, and an open way there. */
export interface Replacement {
  readonly picked: PickedBackend;
  readonly hop: BackendHop;
  readonly charge: TakeoverCharge;
}

/** Gives back all that a replacement holds. */
export function releaseReplacement({ picked, hop, charge }: Replacement): void {
  hop.release({ kind: 'cancelled' });
  charge.refund();
  picked.finish('cancelled');
}

/** What a search needs to know and do for its request. */
export interface SearchedRequest {
  /** Why the request may not be sent again now, to whatever backend; undefined if it may. */
  obstacle(): string | undefined;
  /** Picks a backend other than `silent`. */
  pick(silent: readonly string[], cancelled: AbortSignal): Promise<PickResult>;
  /** Charges another run to the tenant's quota; resolves to undefined if that is used up. */
  charge(): Promise<TakeoverCharge | undefined>;
  /** Makes sure that the backend list is fresh. */
  refreshList(): Promise<void>;
  /** Why the request must not be written to the picked backend; undefined if it may be. */
  reasonNotToWrite(picked: PickedBackend): string | undefined;
  /** Takes one retry from the budget; false if none is left. */
  takeRetry(): boolean;
}

export interface ReplacementSearchOptions {
  readonly clock: Clock;
  /** From 0 to 1. */
  readonly random: () => number;
  readonly paths: Pick<BackendPaths, 'state'>;
  readonly fleetPaths: Pick<FleetPaths, 'isCutOff'>;
  readonly responsiveness: Pick<BackendResponsiveness, 'answers' | 'anyAnswersBut'>;
  readonly hops: Pick<BackendHops, 'openForTakeover'>;
  /** The silent backend. */
  readonly backend: BackendDescription;
  readonly service: BackendService;
  /** Nodes that could not relay the request. The one that relays the silent attempt is asked whether the new backend answers. */
  readonly excludedRelays: ReadonlySet<string>;
  readonly request: SearchedRequest;
  /** Called once for each reason for which a try found no replacement. */
  readonly onObstacle: (obstacle: string) => void;
  /** Called with the replacement, in the turn in which everything was checked. */
  readonly onFound: (replacement: Replacement) => void;
  readonly onDefect: (cause: unknown) => void;
}

/** Pause between two tries, spread so that requests that fall silent together don't try in step. */
const INTERVAL_MS = 500;
/** Backends that are picked in one try and turn out to be silent, too. */
const MAX_PICKS = 3;

/**
 * Looks for a backend that can take over an attempt whose own backend is silent. The attempt goes on meanwhile: its
 * backend may only pause, and the request must not be lost because no other one is free. A backend counts only if it
 * answers now, as those of a service may fall silent together.
 */
export class ReplacementSearch {
  readonly #options: ReplacementSearchOptions;
  readonly #obstacles = new Set<string>();
  #cancel: AbortController | undefined;

  constructor(options: ReplacementSearchOptions) {
    this.#options = options;
  }

  /** Starts to search, unless it does already. */
  start(): void {
    if (this.#cancel !== undefined) return;
    const cancel = new AbortController();
    this.#cancel = cancel;
    this.#run(cancel.signal).catch(this.#options.onDefect);
  }

  /** Ends the search: the attempt has ended or has received something. */
  cancel(): void {
    this.#cancel?.abort();
    this.#cancel = undefined;
  }

  async #run(cancelled: AbortSignal): Promise<void> {
    const { clock, random, onFound } = this.#options;
    while (!cancelled.aborted) {
      const found = await this.#find(cancelled);
      if (typeof found !== 'string') {
        if (cancelled.aborted) releaseReplacement(found);
        else onFound(found);
        return;
      }
      if (cancelled.aborted) return;
      this.#recordObstacle(found);
      await clock.sleep(spreadRetryMs(INTERVAL_MS, random()), cancelled);
    }
  }

  #recordObstacle(obstacle: string): void {
    if (this.#obstacles.has(obstacle)) return;
    this.#obstacles.add(obstacle);
    this.#options.onObstacle(obstacle);
  }

  /**
   * One try. Gives back all that it took if it finds no replacement, and resolves to the reason then; at once if it is
   * cancelled.
   */
  async #find(cancelled: AbortSignal): Promise<Replacement | string> {
    const taken: (() => void)[] = [];
    const giveBack = (): void => {
      for (let undo = taken.pop(); undo !== undefined; undo = taken.pop()) undo();
    };
    cancelled.addEventListener('abort', giveBack, { once: true });
    let found: Replacement | string;
    try {
      found = await this.#acquire(taken, cancelled);
    } catch (cause) {
      this.#options.onDefect(cause);
      found = 'defect';
    }
    cancelled.removeEventListener('abort', giveBack);
    if (typeof found === 'string') giveBack();
    return found;
  }

  /** @param taken gets what gives back each thing that is taken */
  async #acquire(taken: (() => void)[], cancelled: AbortSignal): Promise<Replacement | string> {
    const { hops, service, excludedRelays, request } = this.#options;
    const obstacle = request.obstacle() ?? (await this.#commonObstacle());
    if (obstacle !== undefined) return obstacle;
    const picked = await this.#pickAnswering(cancelled);
    if (typeof picked === 'string') return picked;
    taken.push(() => picked.finish('cancelled'));
    if (cancelled.aborted) return 'cancelled';
    const charge = await request.charge();
    if (charge === undefined) return 'over-quota';
    taken.push(() => charge.refund());
    if (cancelled.aborted) return 'cancelled';
    const hop = await hops.openForTakeover(picked.backend, service, excludedRelays);
    if (typeof hop === 'string') return hop;
    taken.push(() => hop.release({ kind: 'cancelled' }));
    return (await this.#reasonNotToTakeOver(picked, cancelled)) ?? { picked, hop, charge };
  }

  /**
   * Why nothing can take over: no other backend of the service answers. A node that alone has lost its path to the
   * service can't ask them and looks for a relaying node.
   */
  async #commonObstacle(): Promise<string | undefined> {
    const { fleetPaths, responsiveness, backend, service } = this.#options;
    const isAnyAnswering = this.#isReached
      ? await responsiveness.anyAnswersBut(service.name, backend.id)
      : fleetPaths.isCutOff(service.name);
    return isAnyAnswering ? undefined : 'all-silent';
  }

  async #pickAnswering(cancelled: AbortSignal): Promise<PickedBackend | string> {
    const { responsiveness, backend, request } = this.#options;
    const silent = [backend.id];
    while (silent.length <= MAX_PICKS && !cancelled.aborted) {
      const picked = await request.pick(silent, cancelled);
      if (picked.kind === 'none') return picked.reason;
      if (!this.#isReached || (await responsiveness.answers(picked.backend))) return picked;
      picked.finish('cancelled');
      silent.push(picked.backend.id);
    }
    return 'replacement-silent';
  }

  /** What needs no answer from elsewhere is looked at last, so that nothing can change before the takeover. */
  async #reasonNotToTakeOver(picked: PickedBackend, cancelled: AbortSignal): Promise<string | undefined> {
    const { request } = this.#options;
    await request.refreshList();
    // Data of the silent backend may have arrived.
    await pendingInputHandled();
    if (cancelled.aborted) return 'cancelled';
    return (
      request.obstacle() ??
      request.reasonNotToWrite(picked) ??
      (request.takeRetry() ? undefined : 'no-retry-budget')
    );
  }

  get #isReached(): boolean {
    return this.#options.paths.state(this.#options.service.name) === 'working';
  }
}
