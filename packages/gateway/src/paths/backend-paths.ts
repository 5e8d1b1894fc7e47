import type { Clock, Random } from '@canvasridge/clock';
import type { BackendDescription, FleetState } from '@canvasridge/serving';
import { keepRunning, runInBackground, type Telemetry } from '@canvasridge/telemetry';
import { anyTrue } from './any-true.js';
import { ServicePath, type PathState } from './service-path.js';
import type { PathProbe } from './http-probe.js';

export interface BackendPathsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: Pick<FleetState, 'backend' | 'backendsOf'>;
  readonly probe: PathProbe;
  readonly telemetry: Telemetry;
  readonly onChange: (service: string, state: PathState) => void;
}

/** Why a path is checked. `hint`: another node lost its own path. */
export type CheckCause = 'silence' | 'failure' | 'hint' | 'asked';

/** Requests that wait while no backend of their service sends anything for this long have the path checked. */
const SILENCE_MS = 500;
const MAX_SILENCE_MS = 4000;
/** A backend answers a probe within this time, also from another region. */
const PROBE_TIMEOUT_MS = 400;
/** A path is lost if none of this many backends answers a probe. */
const BACKENDS_PROBED = 3;
/** A failure this soon after a check that found the path working is not its fault. */
const CHECK_VALID_MS = 300;
/** Pause between two checks of a lost path. */
const RECHECK_MS = 400;
/** Backends that have to answer for a lost path to count as working again. */
const BACKENDS_TO_REGAIN = 2;
/** A path over which something arrived within this time still carries the connections that are open. */
const RECEIVING_MS = 250;
/** A path over which something was received within this time is not checked on a hint. */
const FRESH_MS = 1000;
/**
 * A path over which something was received within this time is not checked when a peer asks: less than the probe
 * timeout, so that what the peer's probes missed was sent before.
 */
const FRESH_FOR_PEER_MS = 250;
const CHECK_TASK = 'path-check';
const PROBE_TASK = 'path-probe';

/**
 * Knows which services this node can reach: all backends of a service at once fail to answer a node that has
 * lost its path to them, whereas single backends fail for reasons of their own. A suspicion from requests is
 * checked by probes, since requests may also wait for slow backends.
 */
export class BackendPaths {
  readonly #options: BackendPathsOptions;
  readonly #services = new Map<string, ServicePath>();
  readonly #checks = new Map<string, Promise<void>>();
  readonly #watched = new Set<string>();
  #stopped = false;

  constructor(options: BackendPathsOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped = true;
  }

  state(service: string): PathState {
    return this.#services.get(service)?.state ?? 'working';
  }

  /** Number of services of which something is recorded. */
  get recordedServices(): number {
    return this.#services.size;
  }

  /** Services to which this node can open no connection. */
  impaired(): string[] {
    return [...this.#services].filter(([, { state }]) => state !== 'working').map(([service]) => service);
  }

  /** Records that a request is sent to a backend; call `endWait` when its attempt has ended. */
  beginWait(service: string): void {
    this.#path(service).beginWait(this.#options.clock.now());
    this.#watchSilence(service);
  }

  endWait(service: string): void {
    this.#services.get(service)?.endWait();
  }

  /** Records that a backend sent something. */
  received(service: string): void {
    this.#path(service).received(this.#options.clock.now());
  }

  /**
   * Call it when a backend could not be reached or its connection broke. Resolves to whether all backends of
   * the service are out of this node's reach, so that the failure says nothing about this one.
   */
  async isOwnFailure(backendId: string): Promise<boolean> {
    const service = this.#options.fleet.backend(backendId)?.service;
    if (service === undefined) return false;
    const isKnown = this.#path(service).confirmedWithin(CHECK_VALID_MS, this.#options.clock.now());
    if (this.state(service) === 'working' && !isKnown) await this.#check(service, 'failure', backendId);
    return this.state(service) !== 'working';
  }

  /** Another node has lost its path to a service: this one may have lost its own without a request to show it. */
  hint(service: string): void {
    runInBackground(this.#options.telemetry, CHECK_TASK, () => this.reaches(service, 'hint'));
  }

  /** Resolves to whether this node can open connections to a service, after a check unless that is known. */
  async reaches(service: string, cause: CheckCause = 'asked'): Promise<boolean> {
    if (this.state(service) !== 'working') return false;
    // Nothing shows that it is not reached. Peers choose the names: no record is kept for one that nobody serves.
    if (this.#options.fleet.backendsOf(service).length === 0) return true;
    const freshMs = cause === 'asked' ? FRESH_FOR_PEER_MS : FRESH_MS;
    const isFresh = this.#path(service).receivedWithin(freshMs, this.#options.clock.now());
    if (!isFresh) await this.#check(service, cause);
    return this.state(service) === 'working';
  }

  /** Resolves to whether a backend of an impaired service answers a probe. */
  isAnswered(service: string): Promise<boolean> {
    const backends = this.#backendsToProbe(service).slice(0, BACKENDS_TO_REGAIN);
    return this.#anyAnswers(backends);
  }

  #path(service: string): ServicePath {
    let path = this.#services.get(service);
    if (path === undefined) {
      path = new ServicePath();
      this.#services.set(service, path);
    }
    return path;
  }

  /** Checks the path whenever requests have been waiting in silence; ends when no request waits. */
  #watchSilence(service: string): void {
    if (this.#watched.has(service)) return;
    this.#watched.add(service);
    const { clock, telemetry } = this.#options;
    const path = this.#path(service);
    const watch = (): void => {
      const dueMs = path.checkAfterMs(SILENCE_MS, MAX_SILENCE_MS) - path.silentMs(clock.now());
      if (this.#stopped || !path.isWaiting || path.state === 'lost') this.#watched.delete(service);
      else if (dueMs > 0) clock.setTimer(dueMs, watch);
      else runInBackground(telemetry, CHECK_TASK, check);
    };
    const check = async (): Promise<void> => {
      try {
        await this.#check(service, 'silence');
      } catch (cause) {
        // The next check is due as long as this one has found out nothing.
        clock.setTimer(SILENCE_MS, watch);
        throw cause;
      }
      watch();
    };
    clock.setTimer(SILENCE_MS, watch);
  }

  /** Checks a path that is not lost; concurrent calls share one check. */
  #check(service: string, cause: CheckCause, failedId?: string): Promise<void> {
    const running = this.#checks.get(service);
    if (running !== undefined) return running;
    const check = this.#verify(service, cause, failedId).finally(() => this.#checks.delete(service));
    this.#checks.set(service, check);
    return check;
  }

  /** A service without a ready backend counts as reached: nothing shows that it is not. */
  async #verify(service: string, cause: CheckCause, failedId: string | undefined): Promise<void> {
    const { clock } = this.#options;
    const path = this.#path(service);
    const silentMs = path.silentMs(clock.now());
    const backends = this.#backendsToProbe(service, failedId);
    const isAnswered = backends.length === 0 || (await this.#anyAnswers(backends));
    if (this.#stopped || path.state === 'lost') return;
    if (isAnswered) path.confirm(clock.now());
    else {
      const state = path.receivedWithin(RECEIVING_MS, clock.now()) ? 'limited' : 'lost';
      this.#impair(service, path, state, { cause, silentMs: Math.round(silentMs), probed: backends.length });
    }
  }

  /** Ready backends in random order; one at which a request has just failed comes last, as it may have crashed. */
  #backendsToProbe(service: string, failedId?: string): BackendDescription[] {
    const { fleet, random } = this.#options;
    const ready = [...fleet.backendsOf(service)].filter(({ state }) => state === 'ready');
    const shuffled = random.shuffle(ready);
    return [
      ...shuffled.filter(({ id }) => id !== failedId),
      ...shuffled.filter(({ id }) => id === failedId),
    ].slice(0, BACKENDS_PROBED);
  }

  #anyAnswers(backends: readonly BackendDescription[]): Promise<boolean> {
    return anyTrue(
      this.#options.telemetry,
      PROBE_TASK,
      backends.map((backend) => this.#answers(backend)),
    );
  }

  #answers({ address }: BackendDescription): Promise<boolean> {
    return this.#options.probe.answers(address, PROBE_TIMEOUT_MS);
  }

  #impair(
    service: string,
    path: ServicePath,
    state: 'limited' | 'lost',
    facts: Record<string, string | number>,
  ): void {
    const { clock, telemetry, onChange } = this.#options;
    const before = path.state;
    if (before === state) return;
    path.impair(state, clock.now());
    telemetry.event('warn', 'paths.impaired', service, { state, before, ...facts });
    onChange(service, state);
    if (before === 'working')
      keepRunning(this.#options, 'path-return', () => this.#awaitReturn(service, path));
  }

  async #awaitReturn(service: string, path: ServicePath): Promise<void> {
    const { clock, telemetry, onChange } = this.#options;
    while (!this.#stopped && path.state !== 'working') {
      await clock.sleep(RECHECK_MS);
      const backends = this.#backendsToProbe(service).slice(0, BACKENDS_TO_REGAIN);
      const answered = await Promise.all(backends.map((backend) => this.#answers(backend)));
      if (answered.includes(false)) continue;
      const forMs = Math.round(clock.now() - path.impairedSinceMs);
      telemetry.event('info', 'paths.regained', service, { before: path.state, forMs });
      path.regain(clock.now());
      onChange(service, 'working');
      return;
    }
  }
}
