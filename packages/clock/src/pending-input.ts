/**
 * Resolves when the event loop has handled the input that the operating system held for this process at the time of the
 * call.
 *
 * A callback that decides on input sees only what was read before it. After the process was held up, input that
 * contradicts it, such as the close of the connection on which a request came, may lie in the same queue. A turn of the
 * loop reads each socket at most once, so what lies behind the input of the present turn on the same connection takes a
 * second one.
 */
export function pendingInputHandled(): Promise<void> {
  return new Promise((resolve) => afterPendingInput(resolve));
}

/** Calls back at the time of {@link pendingInputHandled}. What the callback throws is an uncaught exception. */
export function afterPendingInput(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
