import test from 'ava';
import { RateLimitNews } from '../src/cluster/rate-limit-news.js';

const GRANT = { kind: 'granted', requestId: 'r', backendId: 'i1', address: 'i1:1' } as const;

interface Told {
  readonly news: RateLimitNews;
  readonly told: (number | null)[];
  own: number | undefined;
}

function start(): Told {
  const told: (number | null)[] = [];
  const started: Told = {
    news: new RateLimitNews({
      rateLimits: { perSecond: () => started.own },
      tell: (_, perSecond) => told.push(perSecond),
    }),
    told,
    own: undefined,
  };
  return started;
}

test('a leader is told once of a limit, and once that it has ended', (t) => {
  const { news, told } = start();
  news.heard('i1', undefined);
  news.heard('i1', 1.4);
  news.heard('i1', 1.4);
  news.granted({ ...GRANT, ratePerSecond: 1.4 });
  news.heard('i1', 1.4);
  news.heard('i1', undefined);
  news.heard('i1', undefined);
  t.deepEqual(told, [1.4, null]);
});

test('what another node told the leader needs no telling', (t) => {
  const { news, told } = start();
  news.granted({ ...GRANT, ratePerSecond: 2 });
  news.heard('i1', 2);
  t.deepEqual(told, []);
});

test('a leader that is new, or grants without the limit, is told again', (t) => {
  const started = start();
  const { news, told } = started;
  news.heard('i1', 1.4);
  news.leaderChanged();
  news.heard('i1', 1.4);
  started.own = 1.4;
  news.granted(GRANT);
  t.deepEqual(told, [1.4, 1.4, 1.4]);
});
