import type { ExchangeContext } from './exchange-context.js';

/** What becomes of a silent attempt: why nothing takes over from it, or the backend that does. */
export type SilenceResult = { readonly obstacle: string } | { readonly replacement: string };

/** An attempt that has received nothing for longer than its limit; times in milliseconds. */
export interface SilentAttempt {
  readonly traceId: string;
  readonly backendId: string;
  readonly service: string;
  /** The relaying node; undefined if the request was sent directly. */
  readonly relay: string | undefined;
  readonly silentMs: number | undefined;
  readonly begunForMs: number | undefined;
  /** Age of the request. */
  readonly ageMs: number;
  readonly result: SilenceResult;
}

type SilenceContext = Pick<ExchangeContext, 'clock' | 'connections' | 'fleet' | 'telemetry' | 'metrics'>;

/**
 * Logs what becomes of an attempt that receives nothing, and what its backend and the others of the service sent this
 * node meanwhile.
 */
export function recordSilence(
  { clock, connections, fleet, telemetry, metrics }: SilenceContext,
  { traceId, backendId, service, relay, silentMs, begunForMs, ageMs, result }: SilentAttempt,
): void {
  metrics.silentAttempts.inc({ result: 'obstacle' in result ? 'waiting' : 'replaced' });
  const others = [...fleet.backendsOf(service)].filter(({ id }) => id !== backendId);
  const agoMs = (receivedMs: number): number | undefined =>
    receivedMs === 0 ? undefined : Math.round(clock.now() - receivedMs);
  telemetry.event('info', 'attempt.silent', traceId, {
    backend: backendId,
    relay,
    silentMs: rounded(silentMs),
    begunForMs: rounded(begunForMs),
    backendHeardMs: agoMs(connections.lastReceivedMs(backendId)),
    othersHeardMs: agoMs(Math.max(0, ...others.map(({ id }) => connections.lastReceivedMs(id)))),
    others: others.length,
    ...result,
    ageMs: Math.round(ageMs),
  });
}

function rounded(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}
