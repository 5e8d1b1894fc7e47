import type { FleetState, HttpRoute } from '@canvasridge/serving';
import type { Telemetry } from '@canvasridge/telemetry';
import type { AdapterVersionCheck } from '../backends/adapter-version-check.js';
import type { BackendAvailability } from '../backends/backend-availability.js';
import type { PickedBackend } from '../backends/picker.js';
import type { NotWrittenReason } from './backend-attempt.js';
import type { RequestFacts } from './dialect.js';

/** What the write checks of all requests of a node share. */
export interface WriteCheckContext {
  readonly fleet: FleetState;
  readonly availability: Pick<BackendAvailability, 'isBackingOff'>;
  readonly adapterVersions: Pick<AdapterVersionCheck, 'verdict'>;
  /** Whether the backend list is too old for a request to be written now. */
  readonly isListTooOld: () => boolean;
  readonly telemetry: Telemetry;
}

/** What may have changed about the request itself. */
export interface CheckedRequest {
  /** Whether it may be sent to any backend now. */
  isAllowed(route: HttpRoute): boolean;
}

/**
 * Checks everything that may have changed while a request waited for its slot or connection, or the process for the CPU,
 * right before the request is written. The node that chose the backend may have known less than this one knows now.
 */
export class WriteCheck {
  readonly #context: WriteCheckContext;
  readonly #facts: RequestFacts;
  readonly #request: CheckedRequest;

  constructor(context: WriteCheckContext, facts: RequestFacts, request: CheckedRequest) {
    this.#context = context;
    this.#facts = facts;
    this.#request = request;
  }

  /** Why the request must not be written to the picked backend; undefined if it may be. */
  reasonNotToWrite(route: HttpRoute, picked: PickedBackend): NotWrittenReason | undefined {
    const { fleet, availability, isListTooOld } = this.#context;
    const { id } = picked.backend;
    if (!this.#request.isAllowed(route)) return 'not-allowed';
    if (fleet.isLeaving(id)) return 'leaving';
    if (availability.isBackingOff(id)) return 'backing-off';
    if (this.#isOutdated(picked)) return 'old-adapter';
    return isListTooOld() ? 'old-list' : undefined;
  }

  /** The adapter version that the backend has to check itself, as nobody knows which one it holds. */
  expectedVersion(picked: PickedBackend): number | undefined {
    const verdict = this.#context.adapterVersions.verdict(this.#facts.generation, picked);
    return verdict.kind === 'unknown' ? verdict.expected : undefined;
  }

  #isOutdated(picked: PickedBackend): boolean {
    const { adapterVersions, telemetry } = this.#context;
    const { generation, attemptId } = this.#facts;
    const verdict = adapterVersions.verdict(generation, picked);
    if (verdict.kind !== 'outdated') return false;
    telemetry.event('info', 'adapter.outdated', attemptId ?? 'none', {
      backend: picked.backend.id,
      adapter: generation?.adapter,
      held: verdict.held,
      required: verdict.required,
      how: picked.how,
    });
    return true;
  }
}
