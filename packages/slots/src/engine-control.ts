import type { BackendDescription, BackendNotice, HeldModel } from '@canvasridge/serving';

/** An adapter that is on its way to an engine. */
export interface PendingAdapter {
  readonly model: string;
  readonly adapter: string;
  /** 0 if it is not told. */
  readonly version: number;
}

/** What an engine says of itself when asked; some hundred milliseconds old. */
export interface EngineReport {
  /** Orders taken since the engine started. */
  readonly orderCount: number;
  /** A model is being loaded or unloaded. */
  readonly busy: boolean;
  readonly models: readonly HeldModel[];
  readonly pending: readonly PendingAdapter[];
}

/** What an order is about: a whole model, or one adapter of it. */
export interface OrderSubject {
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly adapter: string | undefined;
}

export interface EngineOrder extends OrderSubject {
  /** The engine takes the order only if it has taken this many before. */
  readonly expectedCount: number;
  readonly holder: string;
  readonly fence: number;
}

/**
 * Answer to an order: `accepted` is being carried out, `done` was carried out at once or held already,
 * `conflict` was not taken since the count differs or another order is under way, `fenced` was not taken since
 * another holder used a higher fence, `unknown` may have been taken.
 */
export type OrderReply =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'done' }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'other-instance' }
  | { readonly kind: 'rejected'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };

/** An order is on its way for so long at the most, in milliseconds: one that is not answered by then never arrives. */
export const ORDER_TIMEOUT_MS = 600;

export type NoticeListener = (backendId: string, notice: BackendNotice) => void;

/** Calls to engines. None of them rejects. */
export interface EngineControl {
  /** Calls back with what engines say of themselves in answers to orders and reports. */
  onNotice(listener: NoticeListener): void;
  /** Undefined when the engine gave no usable answer. */
  report(backend: BackendDescription): Promise<EngineReport | undefined>;
  order(backend: BackendDescription, order: EngineOrder): Promise<OrderReply>;
}
