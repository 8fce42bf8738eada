import test from "ava";
import { Effect, Fiber } from "effect";
import { DrainAdmission } from "./drain_admission.ts";

const ENDS_AT_MS = 10_000;
const LONG_DEADLINE_MS = 30_000;

function setUp(durationsMs: readonly number[]) {
  const drain = new DrainAdmission();
  for (const ms of durationsMs) drain.recordDuration("route", ms);
  const canComplete = (now: number, { deadlineAtMs = LONG_DEADLINE_MS, route = "route" } = {}) =>
    drain.canComplete({ route: { name: route }, deadlineAtMs }, now);
  return { drain, canComplete };
}

test("an instance that does not stop refuses nothing", (t) => {
  const { canComplete } = setUp([60_000]);
  t.true(canComplete(0));
  t.true(canComplete(0, { route: "unknown" }));
});

test("a request is served as long as those of its route usually end in time", (t) => {
  const { drain, canComplete } = setUp([2400, 2500]);
  drain.begin(ENDS_AT_MS);
  t.true(canComplete(7400));
  t.false(canComplete(7600));
});

// Guards against the refusal of all requests whose deadline lies beyond the end of the process.
test("short requests are served until shortly before the end, whatever their deadline", (t) => {
  const { drain, canComplete } = setUp(Array.from({ length: 100 }, (_, index) => 40 + index % 20));
  drain.recordDuration("route", 9000);
  drain.begin(ENDS_AT_MS);
  t.true(canComplete(9800));
  t.false(canComplete(9990));
});

test("a request that ends at its deadline before the process does is served however long others take", (t) => {
  const { drain, canComplete } = setUp([60_000]);
  drain.begin(ENDS_AT_MS);
  t.true(canComplete(9000, { deadlineAtMs: 9500 }));
  t.true(canComplete(9000, { deadlineAtMs: 9500, route: "unknown" }));
});

test("a request of a route of which nothing is known is refused if its deadline is beyond the end", (t) => {
  const { drain, canComplete } = setUp([10]);
  drain.begin(ENDS_AT_MS);
  t.false(canComplete(1000, { route: "unknown" }));
});

test("what a route's requests took long ago does not count", (t) => {
  const { drain, canComplete } = setUp(Array.from({ length: 100 }, () => 5000));
  for (let index = 0; index < 128; index++) drain.recordDuration("route", 50);
  drain.begin(ENDS_AT_MS);
  t.true(canComplete(9800));
});

test("requests in progress are ended once the process is about to end", async (t) => {
  const { drain } = setUp([]);
  drain.begin(ENDS_AT_MS);
  const waiting = Effect.runFork(drain.awaitEnd);
  drain.endIfDue(ENDS_AT_MS - 1);
  t.is(waiting.pollUnsafe(), undefined);
  drain.endIfDue(ENDS_AT_MS);
  await Effect.runPromise(Fiber.join(waiting));
  t.pass();
});
