/** An adapter of a base model, in one version. */
export interface HeldAdapter {
  readonly name: string;
  readonly version: number;
}

/** A base model that a backend holds, with the adapters loaded on it. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly HeldAdapter[];
}

/** What a backend says of itself in the published list; up to some seconds old. */
export interface BackendDescription {
  /** Changes with each start of the backend's process. */
  readonly id: string;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: string;
  readonly state: 'ready' | 'draining';
  /** Requests that run together. */
  readonly slots: number;
  readonly models: readonly HeldModel[];
}

/** What a backend says of itself in the head of an answer, whatever the answer is to and whatever it says beside. */
export interface BackendNotice {
  /** This start of its process leaves: it is to be given nothing more. */
  readonly isLeaving: boolean;
  /** It wants nothing from this node for so long, in milliseconds; undefined where it says nothing of it. */
  readonly backoffMs: number | undefined;
  /**
   * Requests a second that it takes from all nodes together, for as long as it says so; `none` where an answer of its own work
   * names no such limit; undefined where the answer can't tell.
   */
  readonly rateLimit: number | 'none' | undefined;
}

/** Key of an adapter among all adapters of all models. */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
