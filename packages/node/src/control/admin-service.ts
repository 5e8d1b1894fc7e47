import {
  configurationSchema,
  problem,
  type ConfigurationInForce,
  type NodeStatus,
  type OwnedEngineStatus,
  type Problem,
} from '@canvasridge/domain';
import type { ConfigurationFollower, Plan } from '@canvasridge/configuration';
import { planChange } from '@canvasridge/configuration';
import type { Member } from '@canvasridge/membership';
import { describeIssues } from '@canvasridge/settings';
import type { Telemetry, TimelineDump } from '@canvasridge/telemetry';
import { err, ok, type Result } from 'neverthrow';
import type { EngineFleet } from './engine-fleet.js';

export interface AdminServiceOptions {
  readonly self: () => Member;
  readonly present: () => readonly Member[];
  readonly follower: ConfigurationFollower;
  readonly fleet: EngineFleet;
  readonly telemetry: Telemetry;
  readonly state: () => string;
  readonly activeRequests: () => number;
  readonly completedRequests: () => number;
  readonly drain: () => void;
}

/** Implements the operator calls under `/admin/`. */
export class AdminService {
  readonly #options: AdminServiceOptions;

  constructor(options: AdminServiceOptions) {
    this.#options = options;
  }

  status(): NodeStatus {
    const { self, present, follower, state, activeRequests, completedRequests } = this.#options;
    const { id, zone, region } = self();
    const members = present().map((member) => ({
      id: member.id,
      zone: member.zone,
      state: member.state,
      peerUrl: member.peerUrl,
    }));
    return {
      node: id,
      zone,
      region,
      state: state(),
      revision: follower.store.revision,
      digest: follower.store.head?.digest ?? '',
      held: follower.store.held ?? null,
      activeRequests: activeRequests(),
      completedRequests: completedRequests(),
      members: members.sort((a, b) => (a.id < b.id ? -1 : 1)),
      engines: this.#engines(),
    };
  }

  timeline(): TimelineDump {
    return this.#options.telemetry.ring.dump();
  }

  /**
   * The current configuration, with the revision, digest and service version that the next revision must
   * follow.
   */
  configuration(): ConfigurationInForce {
    const { store } = this.#options.follower;
    return {
      revision: store.revision,
      digest: store.head?.digest ?? null,
      serviceVersion: store.sourceVersion,
      configuration: store.index?.configuration ?? null,
    };
  }

  /**
   * Plans the change to a new configuration document, given the current one and the engines that this node
   * owns.
   */
  plan(document: unknown): Result<Plan, Problem> {
    const checked = configurationSchema.safeParse(document);
    if (!checked.success) {
      const issues = describeIssues(document, checked.error);
      const detail = issues
        .map((issue) => `${issue.path}: found ${issue.found}; ${issue.problem}`)
        .join('\n');
      return err(problem('malformed-request', 'no', { detail }));
    }
    const { store } = this.#options.follower;
    const base =
      store.head === undefined
        ? undefined
        : { revision: store.revision, digest: store.head.digest, configuration: store.index?.configuration };
    const engines = this.#engines().map((engine) => ({
      engineId: engine.engineId,
      loaded: engine.adapters.map((adapter) => adapter.key),
    }));
    return ok(planChange(base, checked.data, { engines }));
  }

  /** Starts draining this node. */
  drain(): void {
    this.#options.drain();
  }

  #engines(): OwnedEngineStatus[] {
    return this.#options.fleet.owned().map((scheduler) => ({
      engineId: scheduler.engine.id,
      running: scheduler.inFlight,
      queued: scheduler.queued,
      maxBatch: scheduler.engine.maxBatch,
      slots: scheduler.engine.slots,
      adapters: scheduler
        .slots()
        .map((slot) => ({ key: slot.key, state: slot.state, running: slot.inFlight })),
    }));
  }
}
