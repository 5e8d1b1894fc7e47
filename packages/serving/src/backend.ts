import type { SocketAddress } from '@canvasridge/addresses';

/** An adapter of a base model, in one version. */
export interface HeldAdapter {
  readonly name: string;
  readonly version: number;
}

/** A base model that a backend has loaded, with the adapters loaded on it. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly HeldAdapter[];
}

/** A backend's description of itself in the published list; it may be some seconds old. */
export interface BackendDescription {
  /** Changes with each start of the backend's process. */
  readonly id: string;
  readonly service: string;
  readonly address: SocketAddress;
  readonly zone: string;
  readonly state: 'ready' | 'draining';
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly models: readonly HeldModel[];
  /**
   * Version of its software, as opposed to its models; absent if it tells none, and in lists from nodes of earlier builds.
   * The events of one stream may come from backends of one version only.
   */
  readonly softwareVersion?: string | undefined;
}

/** The software version of a backend, as streams are bound to it; empty if it tells none. */
export function softwareVersionOf({ softwareVersion }: BackendDescription): string {
  return softwareVersion ?? '';
}

/** What a backend reports about itself in the headers of any of its answers. */
export interface BackendNotice {
  /** Whether this process of the backend is shutting down, so that it must be sent no further requests. */
  readonly isLeaving: boolean;
  /** Time in milliseconds for which it wants no requests from this node; undefined if it reports none. */
  readonly backoffMs: number | undefined;
  /**
   * Requests per second that it accepts from all nodes together, until it reports otherwise; `none` if an
   * answer of the backend itself reports no limit; undefined if the answer says nothing about it.
   */
  readonly rateLimit: number | 'none' | undefined;
  /**
   * Requests that it can turn away in a second for want of room before it fails; `none` if an answer of the
   * backend itself names no such limit; undefined if the answer says nothing about it.
   */
  readonly rejectionLimit?: number | 'none' | undefined;
}

/** Key that is unique among the adapters of all models. */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
