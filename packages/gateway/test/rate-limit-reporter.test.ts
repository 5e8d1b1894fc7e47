import { socketAddress } from '@canvasridge/addresses';
import test from 'ava';
import { RateLimitReporter } from '../src/cluster/rate-limit-reporter.js';

const GRANT = {
  kind: 'granted',
  requestId: 'r',
  backendId: 'i1',
  address: socketAddress('10.0.0.1:1'),
} as const;

interface Started {
  readonly reporter: RateLimitReporter;
  readonly reports: (number | null)[];
  own: number | undefined;
}

function start(): Started {
  const reports: (number | null)[] = [];
  const started: Started = {
    reporter: new RateLimitReporter({
      rateLimits: { perSecond: () => started.own },
      tell: (_, perSecond) => reports.push(perSecond),
    }),
    reports,
    own: undefined,
  };
  return started;
}

test('a leader receives a limit once, and its end once', (t) => {
  const { reporter, reports } = start();
  reporter.onLimitAnnounced('i1', undefined);
  reporter.onLimitAnnounced('i1', 1.4);
  reporter.onLimitAnnounced('i1', 1.4);
  reporter.onGranted({ ...GRANT, ratePerSecond: 1.4 });
  reporter.onLimitAnnounced('i1', 1.4);
  reporter.onLimitAnnounced('i1', undefined);
  reporter.onLimitAnnounced('i1', undefined);
  t.deepEqual(reports, [1.4, null]);
});

test('a limit that the leader learnt from another node is not reported', (t) => {
  const { reporter, reports } = start();
  reporter.onGranted({ ...GRANT, ratePerSecond: 2 });
  reporter.onLimitAnnounced('i1', 2);
  t.deepEqual(reports, []);
});

test('a leader that is new, or grants without the limit, receives it again', (t) => {
  const started = start();
  const { reporter, reports } = started;
  reporter.onLimitAnnounced('i1', 1.4);
  reporter.leaderChanged();
  reporter.onLimitAnnounced('i1', 1.4);
  started.own = 1.4;
  reporter.onGranted(GRANT);
  t.deepEqual(reports, [1.4, 1.4, 1.4]);
});
