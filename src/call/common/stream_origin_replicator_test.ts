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
      const first = yield* setup.start("a");
      yield* setup.advance(100);
      first.record(streamOf("r1"), ORIGIN);
      yield* setup.advance(1500);
      for (const instance of ["a", "b"]) {
        const later = yield* setup.start(instance);
        yield* setup.advance(100);
        t.is(later.find(streamOf("r1"))?.softwareVersion, "v1", instance);
      }
    })
  ));

test("a restarted instance keeps the streams of its former run in the store", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      const first = yield* setup.start("a");
      yield* setup.advance(100);
      first.record(streamOf("r1"), ORIGIN);
      yield* setup.advance(1500);
      const second = yield* setup.start("a");
      yield* setup.advance(100);
      second.record(streamOf("r2"), ORIGIN);
      yield* setup.advance(1500);
      const third = yield* setup.start("a");
      yield* setup.advance(100);
      t.not(third.find(streamOf("r1")), undefined);
      t.not(third.find(streamOf("r2")), undefined);
    })
  ));

test("nothing is written before the streams of an earlier run have been read", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      const first = yield* setup.start("a");
      yield* setup.advance(100);
      first.record(streamOf("r1"), ORIGIN);
      yield* setup.advance(1500);
      setup.log.fault = LogFault.Refuse;
      const second = yield* setup.start("a");
      second.record(streamOf("r2"), ORIGIN);
      yield* setup.advance(1500);
      setup.log.fault = LogFault.None;
      yield* setup.advance(3000);
      const third = yield* setup.start("a");
      yield* setup.advance(100);
      t.not(third.find(streamOf("r1")), undefined);
      t.not(third.find(streamOf("r2")), undefined);
    })
  ));

test("the key of an instance that is gone for long is deleted", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      const first = yield* setup.start("a");
      yield* setup.advance(100);
      first.record(streamOf("r1"), ORIGIN);
      yield* setup.advance(1500);
      t.deepEqual(yield* setup.keys(), ["a"]);
      setup.now += 11 * 60_000;
      yield* setup.start("b");
      yield* setup.advance(100);
      t.deepEqual(yield* setup.keys(), []);
    })
  ));

test("an unreadable value is passed over", (t) =>
  run((setup) =>
    Effect.gen(function* () {
      yield* setup.log.writeKeys(TOPIC, [{ key: "odd", value: Buffer.from([255, 255, 255]) }]);
      const registry = yield* setup.start("a");
      yield* setup.advance(100);
      registry.record(streamOf("r1"), ORIGIN);
      yield* setup.advance(1500);
      t.true((yield* setup.keys()).includes("a"));
    })
  ));
