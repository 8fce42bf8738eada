import test from "ava";
import type { Scope } from "effect";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../../test/stand_ins/partitioned_log_core.ts";
import { NullLogger } from "../../logging/common/logger.ts";
import { KeyedTopicFollower } from "./keyed_topic_follower.ts";

const TOPIC = "keyed.items";

function setUp({ skipsSuperseded = false } = {}) {
  const log = new PartitionedLogCore();
  const follower = new KeyedTopicFollower({
    log,
    topic: TOPIC,
    waitMs: 0,
    pauseMs: 100,
    logger: new NullLogger(),
    skipsSuperseded,
  });
  const updates: string[] = [];
  follower.onDidUpdate(({ key, value, outageMs }) =>
    updates.push(`${key}=${value === undefined ? "-" : Buffer.from(value)}${outageMs > 0 ? "!" : ""}`)
  );
  return { log, follower, updates };
}

function run(work: Effect.Effect<void, never, Scope.Scope>): Promise<void> {
  return Effect.runPromise(Effect.provide(Effect.scoped(work), TestClock.layer()));
}

test("the latest values are reported first, then changes in order", async (t) => {
  const { log, follower, updates } = setUp();
  log.putKey(TOPIC, "a", Buffer.from("1"));
  log.putKey(TOPIC, "a", Buffer.from("2"));
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    log.putKey(TOPIC, "b", Buffer.from("3"));
    log.putKey(TOPIC, "a", undefined);
    yield* TestClock.adjust(150);
  }));
  t.deepEqual(updates, ["a=2", "b=3", "a=-"]);
});

test("a snapshot is read after compaction, and deleted keys are reported", async (t) => {
  const { log, follower, updates } = setUp();
  log.putKey(TOPIC, "a", Buffer.from("1"));
  log.putKey(TOPIC, "b", Buffer.from("1"));
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    log.putKey(TOPIC, "a", undefined);
    log.putKey(TOPIC, "c", Buffer.from("2"));
    log.compact(TOPIC);
    yield* TestClock.adjust(350);
  }));
  t.deepEqual(updates, ["a=1", "b=1", "a=-", "c=2"]);
});

// Guards against an event loop that stalls while versions are decoded that later ones of the same read replace.
test("of several changes of a key in one read only the last is reported, if asked for", async (t) => {
  const { log, follower, updates } = setUp({ skipsSuperseded: true });
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    for (const value of ["1", "2", "3"]) log.putKey(TOPIC, "a", Buffer.from(value));
    log.putKey(TOPIC, "b", Buffer.from("1"));
    log.putKey(TOPIC, "a", Buffer.from("4"));
    yield* TestClock.adjust(150);
    log.putKey(TOPIC, "a", Buffer.from("5"));
    yield* TestClock.adjust(150);
  }));
  t.deepEqual(updates, ["a=4", "b=1", "a=5"]);
  t.deepEqual(follower.snapshot()?.items.map(({ offset }) => offset).sort(), [3, 5]);
});

test("changes read after an outage are marked as such", async (t) => {
  const { log, follower, updates } = setUp();
  log.putKey(TOPIC, "a", Buffer.from("1"));
  let regained = 0;
  follower.onDidRegain(() => regained += 1);
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    log.fault = LogFault.Refuse;
    yield* TestClock.adjust(1000);
    t.true(follower.isFailing);
    log.putKey(TOPIC, "a", undefined);
    log.fault = LogFault.None;
    yield* TestClock.adjust(1000);
  }));
  t.deepEqual(updates, ["a=1", "a=-!"]);
  t.is(regained, 1);
});

test("a peer's snapshot is applied only if it is more recent", async (t) => {
  const { log, follower, updates } = setUp();
  log.putKey(TOPIC, "a", Buffer.from("1"));
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    follower.updateIfNewer({ items: [], end: 1 });
    follower.updateIfNewer({ items: [{ key: "b", value: Buffer.from("2"), offset: 4 }], end: 5 });
    follower.updateIfNewer({ items: [{ key: "a", value: Buffer.from("0"), offset: 0 }], end: 2 });
  }));
  t.deepEqual(updates, ["a=1", "a=-!", "b=2!"]);
});

test("the loss of a topic is awaited while it is read, not before the first read nor during an outage", async (t) => {
  const { log, follower } = setUp();
  const losses: string[] = [];
  const awaitLoss = (name: string) =>
    Effect.forkScoped(Effect.map(follower.awaitLoss, () => losses.push(name)));
  await run(Effect.gen(function* () {
    yield* awaitLoss("unread");
    yield* follower.start();
    yield* TestClock.adjust(50);
    yield* awaitLoss("lost");
    yield* TestClock.adjust(1000);
    t.deepEqual(losses, ["unread"]);
    log.fault = LogFault.Refuse;
    yield* TestClock.adjust(100);
    yield* awaitLoss("away");
    yield* TestClock.adjust(1);
    t.deepEqual(losses, ["unread", "lost", "away"]);
  }));
});
