import type { Clock } from '@canvasridge/clock';
import type { BackendDescription, BackendService } from '@canvasridge/serving';
import type { PickResult, PickedBackend } from '../backends/picker.js';
import type { BackendPaths } from '../paths/backend-paths.js';
import type { BackendResponsiveness } from '../paths/backend-responsiveness.js';
import type { BackendHop } from './backend-hop.js';
import type { BackendHops } from './backend-hops.js';

/** What takes over from an attempt whose backend is silent: a backend that holds a slot for it, and an open way there. */
export interface Replacement {
  readonly picked: PickedBackend;
  readonly hop: BackendHop;
}

/** What a search needs to know and do for its request. */
export interface SearchedRequest {
  /** Why the request may not be sent again now, to whatever backend; undefined if it may. */
  obstacle(): string | undefined;
  /** Picks a backend other than `silent`. */
  pick(silent: readonly string[], cancelled: AbortSignal): Promise<PickResult>;
  /** Makes sure that the backend list is fresh. */
  refreshList(): Promise<void>;
  /** Charges another run to the tenant's quota; resolves to whether that was possible. */
  charge(): Promise<boolean>;
  refund(): void;
  /** Why the request must not be written to this backend; undefined if it may be. */
  reasonNotToWrite(backend: BackendDescription): string | undefined;
  /** Takes one retry from the budget; false if none is left. */
  takeRetry(): boolean;
}

export interface ReplacementSearchOptions {
  readonly clock: Clock;
  readonly paths: Pick<BackendPaths, 'state'>;
  readonly responsiveness: Pick<BackendResponsiveness, 'answers' | 'anyAnswersBut'>;
  readonly hops: Pick<BackendHops, 'openForTakeover'>;
  /** The silent backend. */
  readonly backend: BackendDescription;
  readonly service: BackendService;
  /** Nodes that can't relay the request, among them the one that relays the silent attempt. */
  readonly excludedRelays: ReadonlySet<string>;
  readonly request: SearchedRequest;
  /** Called once for each reason for which a try found no replacement. */
  readonly onObstacle: (obstacle: string) => void;
  /** Called with the replacement, in the turn in which everything was checked. */
  readonly onFound: (replacement: Replacement) => void;
  readonly onDefect: (cause: unknown) => void;
}

/** Pause between two tries. */
const INTERVAL_MS = 500;

/**
 * Looks for a backend that can take over an attempt whose own backend is silent. The attempt goes on meanwhile: its
 * backend may only pause, and the request must not be lost because no other one is free. A backend counts only if it
 * answers now, as those of a service may fall silent together.
 */
export class ReplacementSearch {
  readonly #options: ReplacementSearchOptions;
  /** Backends that were picked and did not answer. */
  readonly #silent: string[];
  readonly #obstacles = new Set<string>();
  #cancel: AbortController | undefined;

  constructor(options: ReplacementSearchOptions) {
    this.#options = options;
    this.#silent = [options.backend.id];
  }

  /** Starts to search, unless it does already. */
  start(): void {
    if (this.#cancel !== undefined) return;
    const cancel = new AbortController();
    this.#cancel = cancel;
    this.#run(cancel.signal).catch((cause: unknown) => this.#options.onDefect(cause));
  }

  /** Ends the search: the attempt has ended or has received something. */
  cancel(): void {
    this.#cancel?.abort();
    this.#cancel = undefined;
  }

  async #run(cancelled: AbortSignal): Promise<void> {
    const { clock, onFound } = this.#options;
    while (!cancelled.aborted) {
      const found = await this.#find(cancelled);
      if (cancelled.aborted) return;
      if (typeof found !== 'string') {
        onFound(found);
        return;
      }
      this.#recordObstacle(found);
      await clock.sleep(INTERVAL_MS, cancelled);
    }
  }

  #recordObstacle(obstacle: string): void {
    if (this.#obstacles.has(obstacle)) return;
    this.#obstacles.add(obstacle);
    this.#options.onObstacle(obstacle);
  }

  /** Resolves to the reason if there is no replacement. */
  async #find(cancelled: AbortSignal): Promise<Replacement | string> {
    const { paths, responsiveness, backend, service, request } = this.#options;
    const obstacle = request.obstacle();
    if (obstacle !== undefined) return obstacle;
    const isReached = paths.state(service.name) === 'working';
    if (isReached && !(await responsiveness.anyAnswersBut(service.name, backend.id))) return 'all-silent';
    if (cancelled.aborted) return 'cancelled';
    const picked = await request.pick(this.#silent, cancelled);
    if (picked.kind === 'none') return picked.reason;
    const found = cancelled.aborted ? 'cancelled' : await this.#prepare(picked, isReached, cancelled);
    if (typeof found === 'string') picked.finish('cancelled');
    return found;
  }

  async #prepare(
    picked: PickedBackend,
    isReached: boolean,
    cancelled: AbortSignal,
  ): Promise<Replacement | string> {
    const { responsiveness, hops, service, excludedRelays } = this.#options;
    if (isReached && !(await responsiveness.answers(picked.backend))) {
      this.#silent.push(picked.backend.id);
      return 'replacement-silent';
    }
    const hop = await hops.openForTakeover(picked.backend, service, excludedRelays);
    if (typeof hop === 'string') return hop;
    const reason = await this.#reasonNotToTakeOver(picked.backend, cancelled);
    if (reason === undefined) return { picked, hop };
    hop.release({ kind: 'cancelled' });
    return reason;
  }

  /** All checks that need no answer from elsewhere come last, so that nothing can change before the takeover. */
  async #reasonNotToTakeOver(
    backend: BackendDescription,
    cancelled: AbortSignal,
  ): Promise<string | undefined> {
    const { request } = this.#options;
    await request.refreshList();
    const isCharged = await request.charge();
    if (!isCharged) return 'over-quota';
    const reason = cancelled.aborted
      ? 'cancelled'
      : (request.obstacle() ?? request.reasonNotToWrite(backend) ?? takeRetry(request));
    if (reason !== undefined) request.refund();
    return reason;
  }
}

function takeRetry(request: SearchedRequest): string | undefined {
  return request.takeRetry() ? undefined : 'no-retry-budget';
}
