import { problem, type Problem } from '@canvasridge/domain';
import type { Member } from '@canvasridge/membership';
import { err, ok, type Result } from 'neverthrow';
import type { EngineFleet } from '../control/engine-fleet.js';
import type { KeyProtocol } from './key-protocol.js';
import type { RequestService } from './request-service.js';

export interface DirectoryOptions {
  readonly requests: RequestService;
  readonly fleet: EngineFleet;
  readonly keys: KeyProtocol;
  readonly self: () => Member;
  readonly present: () => readonly Member[];
}

/** Response body of `GET /v1/endpoints`. */
export interface EndpointsResponse {
  readonly model: string | null;
  /** How long the caller may use this response. */
  readonly ttlSeconds: number;
  /** In order of preference; the caller tries the next one when a node does not respond. */
  readonly endpoints: readonly { readonly node: string; readonly zone: string; readonly url: string }[];
  /** Home token for idempotency keys of non-repeatable requests; valid with every node listed. */
  readonly home: string;
}

const MAX_ENDPOINTS = 4;
const MODELS_PER_PAGE = 1000;

/** Lists nodes for callers to use, starting with the owner of the engine that would serve the model. */
export class Directory {
  readonly #options: DirectoryOptions;

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  endpoints(
    authorization: string | undefined,
    query: Readonly<Record<string, string>>,
  ): Result<EndpointsResponse, Problem> {
    return this.#authenticated(authorization).andThen(({ index }) => {
      const aliveMembers = this.#options.present().filter((member) => member.state === 'alive');
      const owner = this.#ownerFor(query.model, index);
      if (owner.isErr()) return err(owner.error);
      const zone = query.zone ?? this.#options.self().zone;
      const ordered = orderMembers(aliveMembers, owner.value, zone, this.#options.self());
      const [first = this.#options.self()] = ordered;
      return ok({
        model: query.model ?? null,
        ttlSeconds: index.tuning.directoryTtlSeconds,
        endpoints: ordered.map((member) => ({ node: member.id, zone: member.zone, url: member.callerUrl })),
        home: this.#options.keys.newHome(first),
      });
    });
  }

  /** One page of the models that the caller may use, after the name in the `after` query parameter. */
  models(
    authorization: string | undefined,
    query: Readonly<Record<string, string>>,
  ): Result<unknown, Problem> {
    return this.#authenticated(authorization).map(({ index, caller }) => {
      const after = query.after ?? '';
      const names = index.configuration.adapters
        .flatMap((adapter) => adapter.versions.map((version) => `${adapter.base}:${adapter.name}@${version}`))
        .filter(
          (name) => name > after && caller.models.some((prefix) => prefix === '*' || name.startsWith(prefix)),
        )
        .sort()
        .slice(0, MODELS_PER_PAGE);
      const data = names.map((id) => ({ id, object: 'model', owned_by: 'canvasridge' }));
      return { object: 'list', data, has_more: names.length === MODELS_PER_PAGE };
    });
  }

  #authenticated(authorization: string | undefined): ReturnType<RequestService['authenticate']> {
    return this.#options.requests.authenticate({ headers: { authorization } });
  }

  #ownerFor(
    model: string | undefined,
    index: {
      resolveModel: (text: string) => Result<{ base: string; adapter: string; version: string }, unknown>;
    },
  ): Result<Member | undefined, Problem> {
    if (model === undefined) return ok(undefined);
    const resolved = index.resolveModel(model);
    if (resolved.isErr())
      return err(problem('unknown-model', 'no', { detail: `model: found "${model.slice(0, 100)}"` }));
    return ok(this.#options.fleet.choose(resolved.value, new Set())?.owner);
  }
}

/**
 * The owner, then nodes in the caller's zone, then others, up to the limit; only this node if there are none.
 */
function orderMembers(
  aliveMembers: readonly Member[],
  owner: Member | undefined,
  zone: string,
  self: Member,
): Member[] {
  const rest = aliveMembers.filter((member) => member.id !== owner?.id);
  const sameZone = rest.filter((member) => member.zone === zone);
  const otherZones = rest.filter((member) => member.zone !== zone);
  const aliveOwner = owner !== undefined && owner.state === 'alive' ? [owner] : [];
  const ordered = [...aliveOwner, ...sameZone, ...otherZones].slice(0, MAX_ENDPOINTS);
  return ordered.length > 0 ? ordered : [self];
}
