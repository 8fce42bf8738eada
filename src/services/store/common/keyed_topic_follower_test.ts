import test from "ava";
import type { Scope } from "effect";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../../test/stand_ins/partitioned_log_core.ts";
import { LineLogger } from "../../../../test/stand_ins/line_logger.ts";
import { NullLogger } from "../../logging/common/logger.ts";
import type { IPartitionReadOptions } from "./partitioned_log.ts";
import type { IKeyedTopicFollowerOptions } from "./keyed_topic_follower.ts";
import { KeyedTopicFollower } from "./keyed_topic_follower.ts";

const TOPIC = "keyed.items";

function setUp({ isUsable }: Pick<IKeyedTopicFollowerOptions, "isUsable"> = {}) {
  const log = new PartitionedLogCore();
  const follower = new KeyedTopicFollower({
    log,
    topic: TOPIC,
    waitMs: 0,
    pauseMs: 100,
    logger: new NullLogger(),
    ...isUsable === undefined ? {} : { isUsable },
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

// Guards against an instance that keeps its configuration or list of servers for good after one update that it cannot apply.
test("updates are reported although a listener has failed at an earlier one", async (t) => {
  const { log, follower, updates } = setUp();
  follower.onDidUpdate(({ key }) => {
    if (key === "bad") throw new Error("cannot be applied");
  });
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    log.putKey(TOPIC, "bad", Buffer.from("1"));
    log.putKey(TOPIC, "a", Buffer.from("2"));
    yield* TestClock.adjust(150);
    log.putKey(TOPIC, "b", Buffer.from("3"));
    yield* TestClock.adjust(150);
  }));
  t.deepEqual(updates, ["bad=1", "a=2", "b=3"]);
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
  const { log, follower, updates } = setUp({ isUsable: () => true });
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
  t.deepEqual(updates, ["b=1", "a=4", "a=5"]);
  t.deepEqual(follower.snapshot()?.items.map(({ offset }) => offset).sort(), [3, 5]);
});

// Guards against a version that is lost because an unusable value follows it in the same read.
test("a change that is followed by unusable ones in the same read is reported", async (t) => {
  const isUsable = ({ value }: { value: Uint8Array | undefined }) =>
    String(value) !== String(Buffer.from("x"));
  const { log, follower, updates } = setUp({ isUsable });
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    for (const value of ["1", "x", "2", "x", "x"]) log.putKey(TOPIC, "a", Buffer.from(value));
    yield* TestClock.adjust(150);
  }));
  t.deepEqual(updates, ["a=2", "a=x", "a=x"]);
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

test("a change that a listener or the redaction cannot handle is logged, and the following continues", async (t) => {
  const log = new PartitionedLogCore();
  const logger = new LineLogger("i");
  const follower = new KeyedTopicFollower({
    log,
    topic: TOPIC,
    waitMs: 0,
    pauseMs: 100,
    logger,
    redact: (value) => {
      if (value[0] === "r".charCodeAt(0)) throw new Error("redaction");
      return value;
    },
  });
  const updates: string[] = [];
  follower.onDidUpdate(({ key, value }) => {
    if (key.startsWith("odd")) throw new RangeError("x".repeat(100_000));
    updates.push(`${key}=${value === undefined ? "-" : Buffer.from(value)}`);
  });
  for (const key of ["odd1", "a"]) log.putKey(TOPIC, key, Buffer.from("1"));
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    log.putKey(TOPIC, "odd1", undefined);
    log.putKey(TOPIC, "odd2", Buffer.from("1"));
    log.putKey(TOPIC, "b", Buffer.from("r"));
    yield* TestClock.adjust(150);
    follower.updateIfNewer({ items: [{ key: "odd3", value: Buffer.from("1"), offset: 8 }], end: 9 });
    yield* TestClock.adjust(150);
  }));
  t.deepEqual(updates, ["a=1", "b=r", "a=-", "b=-"]);
  t.is(follower.snapshot()!.items.length, 1);
  const failures = logger.lines.filter((line) => line.includes("store-change-failed"));
  t.is(failures.length, 6);
  t.true(failures.every((line) => line.length < 3000));
});

test("a defect of the store's client is logged, and the topic is read again", async (t) => {
  class BrokenLog extends PartitionedLogCore {
    isBroken = false;
    override readKeyChanges(topic: string, opts: IPartitionReadOptions) {
      if (this.isBroken) throw new TypeError("not a page");
      return super.readKeyChanges(topic, opts);
    }
  }
  const log = new BrokenLog();
  const logger = new LineLogger("i");
  const follower = new KeyedTopicFollower({ log, topic: TOPIC, waitMs: 0, pauseMs: 100, logger });
  const updates: string[] = [];
  follower.onDidUpdate(({ key }) => updates.push(key));
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(50);
    log.isBroken = true;
    yield* TestClock.adjust(200);
    log.isBroken = false;
    log.putKey(TOPIC, "a", Buffer.from("1"));
    yield* TestClock.adjust(2000);
  }));
  t.deepEqual(updates, ["a"]);
  t.is(logger.lines.filter((line) => line.includes("component-failed")).length, 1);
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

// Guards against an instance that never reads a change again after one odd snapshot.
test("a peer's snapshot with an offset that the store has not reached does not end the following", async (t) => {
  const { log, follower, updates } = setUp();
  log.putKey(TOPIC, "a", Buffer.from("1"));
  await run(Effect.gen(function* () {
    yield* follower.start();
    yield* TestClock.adjust(150);
    const offset = Number.MAX_SAFE_INTEGER;
    const items = ["a", "odd"].map((key) => ({ key, value: Buffer.from("odd"), offset: offset - 1 }));
    follower.updateIfNewer({ items, end: offset });
    log.putKey(TOPIC, "b", Buffer.from("2"));
    yield* TestClock.adjust(500);
    log.putKey(TOPIC, "c", Buffer.from("3"));
    yield* TestClock.adjust(500);
  }));
  t.deepEqual(updates, ["a=1", "a=odd!", "odd=odd!", "odd=-", "a=1", "b=2", "c=3"]);
});

// Guards against a server that is listed again although it has gone.
test("a read that was in flight while a newer snapshot of a peer was applied brings no deleted key back", async (t) => {
  for (const isFirstRead of [true, false]) {
    class SlowLog extends PartitionedLogCore {
      delayMs = 0;
      override readLatestValues(topic: string) {
        return Effect.tap(super.readLatestValues(topic), () => Effect.sleep(this.delayMs));
      }
      override readKeyChanges(topic: string, opts: IPartitionReadOptions) {
        return Effect.tap(super.readKeyChanges(topic, opts), () => Effect.sleep(this.delayMs));
      }
    }
    const log = new SlowLog();
    const follower = new KeyedTopicFollower({
      log,
      topic: TOPIC,
      waitMs: 0,
      pauseMs: 100,
      logger: new NullLogger(),
    });
    const updates: string[] = [];
    follower.onDidUpdate(({ key, value }) => updates.push(`${key}${value === undefined ? "-" : "+"}`));
    await run(Effect.gen(function* () {
      if (isFirstRead) log.delayMs = 500;
      else yield* follower.start();
      yield* TestClock.adjust(isFirstRead ? 0 : 150);
      log.delayMs = 500;
      log.putKey(TOPIC, "a", Buffer.from("1"));
      if (isFirstRead) yield* follower.start();
      yield* TestClock.adjust(200);
      log.putKey(TOPIC, "a", undefined);
      follower.updateIfNewer({ items: [], end: 2 });
      log.fault = LogFault.Refuse;
      yield* TestClock.adjust(2000);
    }));
    t.deepEqual(updates, [], `first read: ${isFirstRead}`);
  }
});
