import test from "ava";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { LineLogger } from "../../../../test/stand_ins/line_logger.ts";
import { supervise } from "./supervision.ts";

test("work that ends by an unexpected error is logged and started again, work that ends in order is not", async (t) => {
  const logger = new LineLogger("i");
  let runs = 0;
  const work = Effect.suspend(() => {
    runs += 1;
    if (runs <= 2) throw new Error("x".repeat(100_000));
    return Effect.void;
  });
  await Effect.runPromise(Effect.provide(
    Effect.gen(function* () {
      const fiber = yield* Effect.forkChild(supervise(work, { component: "c", logger }));
      yield* TestClock.adjust(10_000);
      yield* Fiber.join(fiber);
    }),
    TestClock.layer(),
  ));
  t.is(runs, 3);
  t.is(logger.lines.length, 2);
  t.true(logger.lines.every((line) => line.includes("component-failed") && line.length < 3000));
});

test("supervised work can be interrupted", async (t) => {
  const logger = new LineLogger("i");
  const fiber = Effect.runFork(supervise(Effect.never, { component: "c", logger }));
  await Effect.runPromise(Fiber.interrupt(fiber));
  t.deepEqual(logger.lines, []);
});
