import test from "ava";
import type { Scope } from "effect";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { LogFault, PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { StreamOriginRegistry } from "./stream_origin_registry.ts";
import { StreamOriginReplicator } from "./stream_origin_replicator.ts";

const TOPIC = "streams";
const ORIGIN = { service: "s", softwareVersion: "v1" };

function streamOf(attemptId: string) {
  return { attemptId, contentKey: 7n };
}

class Setup {
  readonly log = new PartitionedLogCore();
  now = 1_000_000;

  advance(ms: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
        this.now += 50;
        yield* TestClock.adjust(50);
      }
    });
  }

  /** Starts the replicator of an instance; returns the instance's registry. */
  start(instance: string): Effect.Effect<StreamOriginRegistry, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const now = () => this.now;
      const registry = new StreamOriginRegistry(now);
      const { log } = this;
      const logger = new NullLogger();
      yield* new StreamOriginReplicator({ log, topic: TOPIC, instance, registry, logger, now }).start();
      return registry;
    });
  }

  /** Starts an instance, and lets it begin a stream and write it. */
  begin(instance: string, attemptId: string): Effect.Effect<StreamOriginRegistry, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const registry = yield* this.start(instance);
      yield* this.advance(100);
      registry.record(streamOf(attemptId), ORIGIN);
      yield* this.advance(1500);
      return registry;
    });
  }

  /** Starts an instance and lets it read the store. */
  load(instance: string): Effect.Effect<StreamOriginRegistry, never, Scope.Scope> {
    return Effect.tap(this.start(instance), () => this.advance(100));
  }

  keys() {
    return Effect.map(this.log.readLatestValues(TOPIC), ({ items }) => items.map(({ key }) => key));
  }
}

function run(body: (setup: Setup) => Effect.Effect<void, unknown, Scope.Scope>): Promise<void> {
  return Effect.runPromise(Effect.provide(Effect.scoped(body(new Setup())), TestClock.layer()));
}

test("streams are known to instances that start later, also under the same name", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      yield* setup.begin("a", "r1");
      for (const instance of ["a", "b"]) {
        const later = yield* setup.load(instance);
        t.is(later.find(streamOf("r1"))?.softwareVersion, "v1", instance);
      }
    })
  ));

test("a restarted instance keeps the streams of its former run in the store", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      yield* setup.begin("a", "r1");
      yield* setup.begin("a", "r2");
      const third = yield* setup.load("a");
      t.not(third.find(streamOf("r1")), undefined);
      t.not(third.find(streamOf("r2")), undefined);
    })
  ));

test("nothing is written before the streams of an earlier run have been read", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      yield* setup.begin("a", "r1");
      setup.log.fault = LogFault.Refuse;
      yield* setup.begin("a", "r2");
      setup.log.fault = LogFault.None;
      yield* setup.advance(3000);
      const third = yield* setup.load("a");
      t.not(third.find(streamOf("r1")), undefined);
      t.not(third.find(streamOf("r2")), undefined);
    })
  ));

test("the key of an instance that is gone for long is deleted", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      yield* setup.begin("a", "r1");
      t.deepEqual(yield* setup.keys(), ["a"]);
      setup.now += 11 * 60_000;
      yield* setup.load("b");
      t.deepEqual(yield* setup.keys(), []);
    })
  ));

test("an unreadable value is passed over", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      yield* setup.log.writeKeys(TOPIC, [{ key: "odd", value: Buffer.from([255, 255, 255]) }]);
      yield* setup.begin("a", "r1");
      t.true((yield* setup.keys()).includes("a"));
    })
  ));

test("an announced stream is in the store at once, unless the store refuses or has not been read", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      const { log } = setup;
      const now = () => setup.now;
      const registry = new StreamOriginRegistry(now);
      const logger = new NullLogger();
      const replicator = new StreamOriginReplicator({
        log,
        topic: TOPIC,
        instance: "a",
        registry,
        logger,
        now,
      });
      log.fault = LogFault.Refuse;
      yield* replicator.start();
      yield* setup.advance(100);
      t.false(yield* replicator.announce(streamOf("r1"), ORIGIN));
      log.fault = LogFault.None;
      yield* setup.advance(600);
      t.true(yield* replicator.announce(streamOf("r2"), ORIGIN));
      log.fault = LogFault.Refuse;
      t.false(yield* replicator.announce(streamOf("r3"), ORIGIN));
      log.fault = LogFault.None;
      const later = yield* setup.load("b");
      t.deepEqual(["r1", "r2"].map((id) => later.find(streamOf(id))?.softwareVersion), [undefined, "v1"]);
    })
  ));

test("records of other writers do not keep streams from being read and written", async (t) => {
  await run((setup) =>
    Effect.gen(function* () {
      yield* setup.begin("i1", "r1");
      for (const key of ["", "x", "\ufffd".repeat(100)]) {
        setup.log.putKey(TOPIC, key, Buffer.from([0xff, 0xff]));
        setup.log.putKey(
          TOPIC,
          `${key}2`,
          new Uint8Array(250_000).map((_, index) => index % 2 === 0 ? 10 : 0),
        );
      }
      const registry = yield* setup.begin("i2", "r2");
      t.is(registry.list({ attemptId: "r1", contentKey: 7n }).length, 1);
      t.true((yield* Effect.orDie(setup.keys())).includes("i2"));
    })
  );
});
