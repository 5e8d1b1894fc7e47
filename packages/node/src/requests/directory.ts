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

/** Answer of `GET /v1/endpoints`. */
export interface EndpointsAnswer {
  readonly model: string | null;
  /** How long the caller may go by this answer. */
  readonly ttlSeconds: number;
  /** Best first; the caller goes down the list when one does not answer. */
  readonly endpoints: readonly { readonly node: string; readonly zone: string; readonly url: string }[];
  /** Home for idempotency keys of requests that may not be repeated; the same for every address listed. */
  readonly home: string;
}

const ENDPOINTS_LISTED = 4;
const MODELS_PER_PAGE = 1000;

/** Tells callers which nodes to use: the owner of the engine that would serve a model first. */
export class Directory {
  readonly #options: DirectoryOptions;

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  endpoints(
    authorization: string | undefined,
    query: Readonly<Record<string, string>>,
  ): Result<EndpointsAnswer, Problem> {
    return this.#authenticated(authorization).andThen(({ index }) => {
      const working = this.#options.present().filter((member) => member.state === 'alive');
      const owner = this.#ownerFor(query.model, index);
      if (owner.isErr()) return err(owner.error);
      const zone = query.zone ?? this.#options.self().zone;
      const ordered = orderMembers(working, owner.value, zone, this.#options.self());
      const [first = this.#options.self()] = ordered;
      return ok({
        model: query.model ?? null,
        ttlSeconds: index.tuning.directoryTtlSeconds,
        endpoints: ordered.map((member) => ({ node: member.id, zone: member.zone, url: member.callerUrl })),
        home: this.#options.keys.homeAt(first),
      });
    });
  }

  /** One page of the models that the caller may use. */
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
    return this.#options.requests.authenticate({
      method: 'GET',
      path: '',
      headers: { authorization },
      body: new Uint8Array(),
    });
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

/** The owner, then nodes of the caller's zone, then others; this node is always among them. */
function orderMembers(
  working: readonly Member[],
  owner: Member | undefined,
  zone: string,
  self: Member,
): Member[] {
  const rest = working.filter((member) => member.id !== owner?.id);
  const near = rest.filter((member) => member.zone === zone);
  const far = rest.filter((member) => member.zone !== zone);
  const ownerWorks = owner !== undefined && owner.state === 'alive' ? [owner] : [];
  const ordered = [...ownerWorks, ...near, ...far].slice(0, ENDPOINTS_LISTED);
  return ordered.length > 0 ? ordered : [self];
}
