/** Why a socket could not be bound. */
export interface BindError {
  readonly kind: 'cannot-listen';
  /** `IP:port` */
  readonly address: string;
  /** Of the operating system, such as `EADDRINUSE`; undefined if the error has none. */
  readonly code: string | undefined;
  readonly reason: string;
}

export function bindError({ host, port }: { host: string; port: number }, cause: Error): BindError {
  const { code, message } = cause as NodeJS.ErrnoException;
  return { kind: 'cannot-listen', address: `${host}:${port}`, code, reason: message };
}
