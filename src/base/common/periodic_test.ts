import test from "ava";
import { Clock, Effect, Latch } from "effect";
import { TestClock } from "effect/testing";
import { repeatWhenNeeded } from "./periodic.ts";

test("periodic work sets no timer while there is none, and keeps to multiples of its interval", async (t) => {
  const latch = Latch.makeUnsafe(false);
  const doneAtMs: number[] = [];
  const work = Effect.map(Clock.currentTimeMillis, (now) => {
    doneAtMs.push(now);
    if (doneAtMs.length === 3) Latch.closeUnsafe(latch);
  });
  const run = Effect.gen(function* () {
    yield* Effect.forkScoped(repeatWhenNeeded({ intervalMs: 100, awaitWork: latch.await, work }));
    yield* TestClock.adjust(1050);
    t.deepEqual(doneAtMs, []);
    Latch.openUnsafe(latch);
    yield* TestClock.adjust(1000);
    t.deepEqual(doneAtMs, [1100, 1200, 1300]);
  });
  await Effect.runPromise(Effect.provide(Effect.scoped(run), TestClock.layer()));
});
