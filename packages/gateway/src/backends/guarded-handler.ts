import type { RequestHandler } from './revocable-client.js';

/**
 * A handler whose exceptions go to `onDefect`: the HTTP client would take them for the end of the connection, or throw
 * them where nothing handles them. A request whose start fails is not written.
 */
export function guardedHandler(handler: RequestHandler, onDefect: (cause: unknown) => void): RequestHandler {
  const guard = (work: () => void): void => {
    try {
      work();
    } catch (cause) {
      onDefect(cause);
    }
  };
  return {
    onRequestStart: (controller, context) => {
      try {
        handler.onRequestStart?.(controller, context);
      } catch (cause) {
        onDefect(cause);
        controller.abort(new Error('not written'));
      }
    },
    onResponseStart: (...parameters) => guard(() => handler.onResponseStart?.(...parameters)),
    onResponseData: (...parameters) => guard(() => handler.onResponseData?.(...parameters)),
    onResponseEnd: (...parameters) => guard(() => handler.onResponseEnd?.(...parameters)),
    onResponseError: (...parameters) => guard(() => handler.onResponseError?.(...parameters)),
    onNotConnected: (cause) => guard(() => handler.onNotConnected(cause)),
  };
}
