import test from "ava";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { RouteKind } from "../../services/routes/common/route_table.ts";
import { eventSilenceLimit, failWhenSilent, headSilenceLimit } from "./silence_limits.ts";

const SAFE = { kind: RouteKind.Safe, targetMs: 200 } as IRoute;
const STREAM = { kind: RouteKind.Stream, targetMs: 200 } as IRoute;
const START = { serverSinceMs: 0, callerSinceMs: 0 };

test("the wait for a head is four times the target, and for streams within the time for which callers wait", (t) => {
  const atMs = (route: Partial<IRoute>, silence = START) =>
    headSilenceLimit({ ...SAFE, ...route }, silence)?.atMs;
  t.deepEqual([100, 200, 5000].map((targetMs) => atMs({ targetMs })), [700, 800, 20_000]);
  t.deepEqual([100, 200, 500, 5000].map((targetMs) => atMs({ ...STREAM, targetMs })), [
    700,
    800,
    1500,
    15_000,
  ]);
  t.is(atMs(STREAM, { serverSinceMs: 800, callerSinceMs: 0 }), 1500);
  t.is(atMs(STREAM, { serverSinceMs: 1500, callerSinceMs: 0 }), undefined);
});

test("the wait for an event grows with the target before the first one and with the declared pause later", (t) => {
  const atMs = (route: Partial<IRoute>, isFirstEvent: boolean) =>
    eventSilenceLimit({ ...STREAM, ...route }, { ...START, isFirstEvent })?.atMs;
  t.deepEqual([200, 1000, 5000].map((targetMs) => atMs({ targetMs }, true)), [1500, 3000, 15_000]);
  t.deepEqual([200, 1000, 5000].map((targetMs) => atMs({ targetMs }, false)), [1500, 1500, 1500]);
  t.deepEqual([100, 600, 2000].map((maxPauseMs) => atMs({ maxPauseMs }, false)), [1500, 2400, 8000]);
});

test("a server is not left if it has been silent for less than a second or another one would be too late", (t) => {
  const limit = (serverSinceMs: number) =>
    eventSilenceLimit(STREAM, { serverSinceMs, callerSinceMs: 0, isFirstEvent: true });
  t.deepEqual([0, 300, 500].map((sinceMs) => limit(sinceMs)?.atMs), [1500, 1500, 1500]);
  t.deepEqual([600, 1500, 1600].map(limit), [undefined, undefined, undefined]);
});

interface IObserved {
  readonly mayLeave: boolean;
  /** Steps, each a time to advance in ms and what happens after it. */
  readonly steps: readonly (readonly [number, (state: { eventAtMs: number; stoodMs: number }) => void])[];
}

/** Observes a silence with a limit of 1500 ms, and returns whether the server was left. */
function observe({ mayLeave, steps }: IObserved): Promise<boolean> {
  const work = Effect.gen(function* () {
    const clock = yield* Effect.clockWith((current) => Effect.succeed(current));
    const state = { eventAtMs: 0, stoodMs: 0 };
    const now = () => Number(clock.monotonicTimeNanosUnsafe()) / 1e6 + state.stoodMs;
    const limit = () => ({ atMs: state.eventAtMs + 1500, latestMs: state.eventAtMs + 5000 });
    const observer = failWhenSilent({ now, limit, mayLeave: () => mayLeave });
    const fiber = yield* Effect.forkChild(Effect.exit(observer));
    for (const [ms, change] of steps) {
      yield* TestClock.adjust(ms);
      change(state);
    }
    yield* TestClock.adjust(5);
    return fiber.pollUnsafe() !== undefined;
  });
  return Effect.runPromise(Effect.provide(work, TestClock.layer()));
}

test("a silent server is left at the limit, which each event moves", async (t) => {
  const nothing = () => {};
  t.true(await observe({ mayLeave: true, steps: [[1500, nothing]] }));
  t.false(await observe({ mayLeave: false, steps: [[3000, nothing]] }));
  const steps = [[1000, (state: { eventAtMs: number }) => state.eventAtMs = 1000], [1000, nothing]] as const;
  t.false(await observe({ mayLeave: true, steps }));
  t.true(await observe({ mayLeave: true, steps: [...steps, [600, nothing]] }));
});

test("after this instance stood still, events that arrived meanwhile are read before the server is judged", async (t) => {
  const standStill = (state: { stoodMs: number }) => state.stoodMs = 700;
  const read = (state: { eventAtMs: number }) => state.eventAtMs = 2200;
  t.false(await observe({ mayLeave: true, steps: [[1000, standStill], [501, read]] }));
  t.true(await observe({ mayLeave: true, steps: [[1000, standStill], [501, () => {}]] }));
});
