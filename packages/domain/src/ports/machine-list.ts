import type { ResultAsync } from 'neverthrow';

/** A machine as the platform lists it. */
export interface Machine {
  readonly id: string;
  /** Entry machines run nodes; back-end machines run engines and services. */
  readonly role: 'entry' | 'back-end';
  readonly state: 'live' | 'leaving';
  /** Membership address of an entry machine, `IP:port`. */
  readonly gossip?: string | undefined;
}

export interface MachineListError {
  readonly kind: 'unavailable';
  readonly detail: string;
}

/** The platform's list of machines. It lags behind reality. */
export interface MachineList {
  list(): ResultAsync<readonly Machine[], MachineListError>;
}
