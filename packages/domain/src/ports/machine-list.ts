import type { ResultAsync } from 'neverthrow';

/** A machine in the platform's machine list. */
export interface Machine {
  readonly id: string;
  /** Entry machines run nodes; back-end machines run engines and services. */
  readonly role: 'entry' | 'back-end';
  readonly state: 'live' | 'leaving';
  /** Address of an entry machine for the membership protocol, `IP:port`. */
  readonly gossip?: string | undefined;
}

export interface MachineListError {
  readonly kind: 'unavailable';
  readonly detail: string;
}

/** Client of the platform's machine list, which lags behind the actual state. */
export interface MachineList {
  list(): ResultAsync<readonly Machine[], MachineListError>;
}
