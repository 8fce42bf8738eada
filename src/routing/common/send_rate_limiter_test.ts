import test from "ava";
import { SendRateLimiter } from "./send_rate_limiter.ts";

const RUN = { backendId: "b", startedAtMs: 1 };

function makeLimiter() {
  const clock = { nowMs: 0 };
  const limiter = new SendRateLimiter({ now: () => clock.nowMs, firstDelay: () => 0 });
  const acquire = (opts: object = {}) =>
    limiter.acquire({ run: RUN, perSecond: 4, instance: "i", maxWaitMs: 0, ...opts });
  return { clock, limiter, acquire };
}

test("permits become available at the rate", (t) => {
  const { clock, acquire } = makeLimiter();
  let granted = 0;
  for (clock.nowMs = 0; clock.nowMs < 10_000; clock.nowMs += 10) if (acquire().isGranted) granted += 1;
  t.is(granted, 40);
});

test("unused permits are kept for half a second only", (t) => {
  const { clock, acquire } = makeLimiter();
  acquire();
  clock.nowMs = 10_000;
  t.is([1, 2, 3, 4, 5, 6].filter(() => acquire().isGranted).length, 3);
});

test("a request that can wait gets the next permit, the others behind it a later one or none", (t) => {
  const { acquire } = makeLimiter();
  const waits = [0, 600, 600, 600].map((maxWaitMs) => acquire({ maxWaitMs }));
  t.deepEqual(waits.map(({ isGranted, waitMs }) => [isGranted, waitMs]), [
    [true, 0],
    [true, 250],
    [true, 500],
    [false, 750],
  ]);
});

test("a rate that rises shortens the wait at once", (t) => {
  const { clock, acquire } = makeLimiter();
  acquire({ perSecond: 0 });
  clock.nowMs = 300;
  t.false(acquire({ perSecond: 0 }).isGranted);
  t.true(acquire({ perSecond: 4 }).isGranted);
});

test("a rate of none grants a request now and then", (t) => {
  const { clock, acquire } = makeLimiter();
  let granted = 0;
  for (clock.nowMs = 0; clock.nowMs < 20_000; clock.nowMs += 10) {
    if (acquire({ perSecond: 0 }).isGranted) granted += 1;
  }
  t.is(granted, 4);
});

test("with more instances each is told to ask less often", (t) => {
  const { limiter } = makeLimiter();
  const ask = (index: number) =>
    limiter.acquire({ run: RUN, perSecond: 4, instance: `i${index}`, maxWaitMs: 0 });
  const last = Array.from({ length: 195 }, (_, index) => ask(index)).at(-1)!;
  t.is(last.askers, 195);
  t.is(last.retryAfterMs, 195 * 20);
});

test("a new run of a server begins anew", (t) => {
  const { acquire } = makeLimiter();
  acquire();
  t.false(acquire().isGranted);
  t.true(acquire({ run: { ...RUN, startedAtMs: 2 } }).isGranted);
});

test("a rate that falls voids the permits that are not valid yet", (t) => {
  const { clock, acquire } = makeLimiter();
  const waits = [0, 1, 2, 3].map(() => acquire({ perSecond: 20, maxWaitMs: 1000 }).waitMs);
  t.deepEqual(waits, [0, 50, 100, 150]);
  clock.nowMs = 10;
  t.is(acquire({ perSecond: 4, maxWaitMs: 1000 }).waitMs, 250);
  t.is(acquire({ perSecond: 4, maxWaitMs: 1000 }).waitMs, 500);
});
