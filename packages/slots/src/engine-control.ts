import type { BackendDescription, BackendNotice, HeldModel } from '@canvasridge/serving';

/** An adapter that an engine is loading. */
export interface PendingAdapter {
  readonly model: string;
  readonly adapter: string;
  /** 0 if the engine does not report it. */
  readonly version: number;
}

/** An engine's description of its own state, a few hundred milliseconds old. */
export interface EngineReport {
  /** Orders counted since the engine started. */
  readonly orderCount: number;
  /** A model is being loaded or unloaded. */
  readonly busy: boolean;
  /** Loaded models with their loaded adapters. */
  readonly models: readonly HeldModel[];
  readonly pending: readonly PendingAdapter[];
  /** Ids of the attempts that it runs, as their clients gave them; absent if it does not tell. */
  readonly runs?: readonly string[] | undefined;
}

/** The model or adapter to load or unload. */
export interface OrderSubject {
  readonly action: 'load' | 'unload';
  readonly model: string;
  /** Undefined for the base model itself. */
  readonly adapter: string | undefined;
}

/** A load or unload command to an engine. */
export interface EngineOrder extends OrderSubject {
  /** The engine accepts the order only if its order count has this value. */
  readonly expectedCount: number;
  /** Name of the node that gives the order. */
  readonly holder: string;
  /** Fencing token: engines that check fences reject an order with a lower one than they have seen. */
  readonly fence: number;
}

/**
 * Answer to an order. `accepted`: being carried out. `done`: carried out at once, or there was nothing to do.
 * `conflict`: not accepted because the count differs or another order is in progress. `fenced`: not accepted because
 * another holder has used a higher fence. `other-instance`: not accepted because the engine was restarted, or another one
 * runs at its address. `rejected`: refused as invalid. `unknown`: may or may not have been carried out. `not-sent`: not
 * allowed any more when it was to be written.
 */
export type OrderReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'done' }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'other-instance' }
  | { readonly kind: 'rejected'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'not-sent' };

/** Longest time an order can be in flight, in milliseconds. An order not answered by then never arrives. */
export const ORDER_TIMEOUT_MS = 600;

export type NoticeListener = (backendId: string, notice: BackendNotice) => void;

/** Control calls to engines. The returned promises never reject. */
export interface EngineControl {
  /** Registers a listener for notices that engines attach to their answers. */
  onNotice(listener: NoticeListener): void;
  /** Resolves to undefined if the engine gave no usable answer. */
  report(backend: BackendDescription): Promise<EngineReport | undefined>;
  /** @param isAllowed asked again right before the order is written */
  order(backend: BackendDescription, order: EngineOrder, isAllowed: () => boolean): Promise<OrderReply>;
}
